"""Tests of the failover rules of a group."""

import unittest
from dataclasses import replace

from lavendergate.core.failover import step
from lavendergate.core.failover_types import (
    Effect,
    Event,
    FailoverSettings,
    GroupFailover,
    Observed,
    ProposeBeginTerm,
    Report,
    ReportKind,
    SwitchoverRequested,
)
from lavendergate.core.records import GroupRecord
from lavendergate.core.types import (
    LOG_START,
    MemberRole,
    MemberView,
    Term,
    UpstreamId,
)
from lavendergate.core.watchers import Suspicion
from lavendergate.tests.test_membership import GROUP, announcement

NAMES = tuple(UpstreamId(name) for name in 'abc')
AGREED = Suspicion(is_reported_by_enough=True)
UNANIMOUS = Suspicion(is_reported_by_enough=True, is_reported_by_all=True)


def member(name: UpstreamId, contact_ms: int = 0) -> MemberView:
    """Return a member of term 1, in which `a` is primary."""
    one = announcement(name)
    status = replace(
        one.status,
        promised_term=Term(1),
        last_entry=LOG_START,
        role=MemberRole.primary if name == 'a' else MemberRole.replica,
        primary_contact_ms=contact_ms,
    )
    return MemberView(
        upstream_id=name,
        group_id=GROUP,
        region=one.region,
        failure_domain=one.failure_domain,
        host=one.host,
        port=one.port,
        connection_limit=16,
        slots=2,
        leaving=False,
        status=status,
        observed_at=0,
    )


def observed(suspicion: Suspicion | None = None, *contacts_ms: int) -> Observed:
    """Return an observation of the group in term 1."""
    return Observed(
        record=GroupRecord(
            group_id=GROUP,
            member_ids=frozenset(NAMES),
            begun_term=Term(1),
            term=Term(1),
            primary=NAMES[0],
        ),
        members={
            name: member(name, contact_ms)
            for name, contact_ms in zip(
                NAMES, contacts_ms or (0, 0, 0), strict=True
            )
        },
        suspicion=suspicion or Suspicion(),
    )


class FailoverRulesTest(unittest.TestCase):
    """Conditions under which a promotion starts."""

    def setUp(self) -> None:
        self.state = GroupFailover(group_id=GROUP)
        self.handle(observed(), 0)

    def handle(self, event: Event, now: float) -> tuple[Effect, ...]:
        self.state, effects = step(self.state, event, now)
        return effects

    def begins(self, event: Event, now: float) -> bool:
        effects = self.handle(event, now)
        return any(isinstance(one, ProposeBeginTerm) for one in effects)

    def test_missing_announcements_alone_do_not_promote(self) -> None:
        """Guards against a promotion while only control lost contact.

        A partition of the control hosts also stops announcements.
        """
        event = observed()
        without = {
            name: view for name, view in event.members.items() if name != 'a'
        }
        self.assertFalse(self.begins(replace(event, members=without), 60))

    def test_majority_of_replicas_must_lose_contact(self) -> None:
        """Guards against a promotion because one replica is partitioned."""
        self.assertFalse(self.begins(observed(None, 0, 5000, 0), 60))
        self.assertFalse(self.begins(observed(None, 0, 999, 999), 60))
        self.assertTrue(self.begins(observed(None, 0, 1000, 1000), 60))

    def test_second_promotion_is_damped_unless_unanimous(self) -> None:
        """Guards against promotions in quick succession."""
        self.state = replace(self.state, automatic_promotion_at=58)
        self.assertFalse(self.begins(observed(AGREED), 60))
        self.assertTrue(self.begins(observed(UNANIMOUS), 60))

    def test_disabled_failover_starts_nothing(self) -> None:
        """Guards against promotions that an operator has disabled."""
        settings = FailoverSettings(enabled=False)
        event = replace(observed(UNANIMOUS), settings=settings)
        self.assertFalse(self.begins(event, 60))

    def test_new_group_waits_for_its_members(self) -> None:
        """Guards against a first primary that lacks another member's data."""
        state = GroupFailover(group_id=GROUP)
        two = GroupRecord(group_id=GROUP, member_ids=frozenset(NAMES[:2]))
        all_three = replace(two, member_ids=frozenset(NAMES))
        event = replace(observed(), record=two)
        self.state = state
        self.assertFalse(self.begins(event, 100))
        self.assertFalse(self.begins(event, 104.9))
        self.assertTrue(self.begins(event, 105))
        self.state = state
        self.assertTrue(self.begins(replace(event, record=all_three), 100))

    def test_switchover_to_a_lagging_replica_is_refused(self) -> None:
        """Guards against a switchover that blocks writes for long."""
        self.handle(observed(None, 0, 2000, 0), 60)
        request = SwitchoverRequested(target=NAMES[1])
        (report,) = self.handle(request, 60)
        assert isinstance(report, Report)
        self.assertIs(report.kind, ReportKind.switchover_failed)
