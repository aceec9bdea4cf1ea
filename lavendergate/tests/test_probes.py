"""Tests of probes of a member that does not answer."""

import unittest

import anyio
import trio
import trio.testing

from lavendergate.backends.base import (
    MemberAddress,
    UpstreamBackend,
    UpstreamConnection,
    UpstreamUnreachableError,
)
from lavendergate.controllers.directory import Directory
from lavendergate.controllers.probes import Prober
from lavendergate.core.reports import Announcement, GroupReport, MemberReport
from lavendergate.core.types import (
    LOG_START,
    FailureDomain,
    GroupId,
    MemberRole,
    MemberStatus,
    Region,
    Term,
    UpstreamId,
)

MEMBER = UpstreamId('a')
GROUP = GroupId('glasdaten-1')


class _SilentBackend(UpstreamBackend):
    """Logs in to a member; the answers of the member are lost."""

    def __init__(self) -> None:
        self.logins = 0

    async def connect(
        self, address: MemberAddress, *, database: str, timeout_s: float
    ) -> UpstreamConnection:
        self.logins += 1
        await anyio.sleep(timeout_s)
        raise UpstreamUnreachableError('no answer', connection_id=self.logins)


def _directory() -> Directory:
    status = MemberStatus(
        promised_term=Term(1),
        last_entry=LOG_START,
        role=MemberRole.primary,
        primary_contact_ms=0,
        applied_age_ms=0,
        connections=0,
    )
    announcement = Announcement(
        upstream_id=MEMBER,
        group_id=GROUP,
        region=Region('franken'),
        failure_domain=FailureDomain('nue-sued'),
        host='127.0.0.1',
        port=3306,
        connection_limit=16,
        slots=2,
        leaving=False,
        incarnation='1',
        status=status,
    )
    directory = Directory()
    report = GroupReport(
        group_id=GROUP,
        term=Term(1),
        primary=MEMBER,
        member_ids=frozenset((MEMBER,)),
        members=(MemberReport(announcement=announcement, age_ms=0),),
        term_history=(),
    )
    directory.update((report,), version=1, now=0)
    return directory


class ProberTest(unittest.TestCase):
    """Probes whose login got no answer."""

    def test_each_lost_login_is_reported(self) -> None:
        """Guards against probes that use up a member's connection limit."""
        lost: list[int] = []
        backend = _SilentBackend()

        async def scenario() -> None:
            async with anyio.create_task_group() as tasks:
                prober = Prober(
                    backend=backend,
                    directory=_directory(),
                    tasks=tasks,
                    record_lost=lambda _member, number: lost.append(number),
                )
                prober.set_targets((MEMBER,))
                await anyio.sleep(10)
                (finding,) = prober.results()
                self.assertFalse(finding.reachable)
                tasks.cancel_scope.cancel()

        trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertGreater(backend.logins, 10)
        self.assertEqual(lost, list(range(1, len(lost) + 1)))
        self.assertGreaterEqual(len(lost), backend.logins - 1)
