"""Tests of the status that control hosts keep of each member."""

import unittest

import anyio

from lavendergate.controllers.member_poller import PolledMember
from lavendergate.core.sessions.statements import (
    MemberReport,
    ReportStatus,
)
from lavendergate.core.types import LogPosition, Term
from lavendergate.tests.takeover_fixture import TakeoverFixture, run_scenario
from standin.session_group import SessionGroup


def report(
    received: int, *, term: int = 1, paused_term: int = 0
) -> MemberReport:
    """Return a replica's report whose position is of the same term."""
    return MemberReport(
        is_primary=False,
        term=Term(term),
        received=LogPosition(term=Term(term), position=received),
        paused_term=Term(paused_term),
        lag_ms=0,
        busy=0,
        connections=0,
    )


class StallTest(unittest.TestCase):
    """Time since which a replica is behind its primary."""

    def setUp(self) -> None:
        group = SessionGroup(names=('a',))
        self.member = PolledMember(
            entry=group.member('a').entry, lock=anyio.Lock()
        )

    def compare(
        self, own: MemberReport, primary: MemberReport, now: float
    ) -> float | None:
        self.member.record_report(own, now)
        self.member.update_behind_since(primary, now)
        return self.member.behind_since

    def test_pause_of_a_takeover_is_no_stall(self) -> None:
        """Guards against a second takeover right after the first one.

        A replica that was paused for a takeover was behind the new primary,
        and was mistaken for one that cannot reach it.
        """
        self.assertEqual(self.compare(report(5), report(6), 1), 1)
        paused = report(5, paused_term=2)
        self.assertIsNone(self.compare(paused, report(7), 2))
        resumed = report(5)
        self.assertEqual(self.compare(resumed, report(9, term=2), 4), 4)

    def test_new_primary_restarts_the_comparison(self) -> None:
        """Guards against a lag behind the former primary that still counts."""
        self.assertEqual(self.compare(report(5), report(6), 1), 1)
        self.assertEqual(self.compare(report(5), report(7, term=2), 3), 3)

    def test_replica_that_reaches_its_target_is_not_behind(self) -> None:
        """Guards against a short lag that counts as a stall."""
        self.assertEqual(self.compare(report(5), report(6), 1), 1)
        self.assertEqual(self.compare(report(6), report(9), 2), 2)
        self.assertIsNone(self.compare(report(9), report(9), 3))


class CancelledRequestTest(unittest.TestCase):
    """Requests that are given up before the member answers."""

    def test_late_answer_is_not_read_by_the_next_request(self) -> None:
        """Guards against the answer to a status request that ends a pause."""

        async def scenario(control: TakeoverFixture) -> None:
            await anyio.sleep(2)
            member = control.group.member('b')
            polled = control.poller._members[member.entry.upstream_id]
            self.assertIsNotNone(polled.session)
            member.is_silent = True
            with anyio.move_on_after(0.1):
                await control.poller.ask(
                    member.entry.upstream_id, ReportStatus()
                )
            self.assertIsNone(polled.session)

        run_scenario(scenario)


class UnexpectedErrorTest(unittest.TestCase):
    """Answers of a member that raise an unexpected error."""

    def test_one_bad_answer_does_not_end_the_polling(self) -> None:
        """Guards against members that are never polled again.

        The error ended the polling of all members; the restarted poller
        regarded them as being polled already, so no primary was replaced.
        """

        async def scenario(control: TakeoverFixture) -> None:
            await anyio.sleep(2)
            control.group.member('c').is_malformed = True
            await anyio.sleep(3)
            control.group.member('c').is_malformed = False
            control.group.member('a').is_down = True
            await anyio.sleep(6)
            self.assertEqual(len(control.orders.orders), 1)

        run_scenario(scenario)
