"""Tests of routing."""

import unittest
from collections.abc import Mapping
from dataclasses import replace

from lavendergate.core.decisions import (
    BoundedRead,
    Decision,
    ObtainReadIndex,
    Refuse,
    Request,
    SessionRead,
    UseMember,
    UsePrimary,
    WaitForPrimary,
    WaitOnMember,
    WriteRequest,
)
from lavendergate.core.member_load import MemberLoad, RoutingPolicy
from lavendergate.core.routing import route
from lavendergate.core.types import (
    FailureDomain,
    GroupId,
    GroupView,
    LogPosition,
    MemberRole,
    MemberStatus,
    MemberView,
    Region,
    Term,
    TermStart,
    UpstreamId,
)

_P, _R1, _R2 = UpstreamId('p'), UpstreamId('r1'), UpstreamId('r2')
_USE_PRIMARY = UsePrimary(upstream_id=_P, term=Term(2))
_CONFIRM = ObtainReadIndex(upstream_id=_P, term=Term(2))


def _at(term: int, position: int) -> LogPosition:
    return LogPosition(term=Term(term), position=position)


def _read(term: int, position: int) -> SessionRead:
    return SessionRead(position=_at(term, position))


def _member(
    upstream_id: UpstreamId,
    last_entry: LogPosition,
    age_ms: int = 0,
    *,
    region: str = 'here',
    leaving: bool = False,
) -> MemberView:
    return MemberView(
        upstream_id=upstream_id,
        group_id=GroupId('g'),
        region=Region(region),
        failure_domain=FailureDomain('a'),
        host='127.0.0.1',
        port=3306,
        connection_limit=16,
        slots=2,
        leaving=leaving,
        status=MemberStatus(
            promised_term=Term(2),
            last_entry=last_entry,
            role=MemberRole.replica,
            primary_contact_ms=0,
            applied_age_ms=age_ms,
            connections=1,
        ),
        observed_at=0,
    )


_VIEW = GroupView(
    group_id=GroupId('g'),
    term=Term(2),
    primary=_P,
    member_ids=frozenset((_P, _R1, _R2)),
    members=(
        _member(_P, _at(2, 120)),
        _member(_R1, _at(2, 110), 50),
        _member(_R2, _at(1, 80), 3),
    ),
    term_history=(
        TermStart(term=Term(1), first_position=1),
        TermStart(term=Term(2), first_position=100),
    ),
)

_FAR_VIEW = replace(
    _VIEW,
    members=(
        *_VIEW.members[:2],
        _member(_R2, _at(2, 110), 3, region='there'),
    ),
)


def _route(
    request: Request,
    view: GroupView = _VIEW,
    *,
    now: float = 0,
    loads: Mapping[UpstreamId, MemberLoad] | None = None,
    known: Mapping[UpstreamId, LogPosition] | None = None,
    without_share: frozenset[UpstreamId] = frozenset(),
) -> Decision:
    return route(
        request,
        view,
        loads or {},
        now,
        policy=RoutingPolicy(region=Region('here')),
        known=known or {},
        without_share=without_share,
    )


class RoutingTest(unittest.TestCase):
    """Decisions for one group of three members."""

    def test_session_reads(self) -> None:
        """Guards against reads that miss the session's writes."""
        wait = WaitOnMember(upstream_id=_R2, position=_at(2, 115), timeout_ms=5)
        waited = replace(_read(2, 115), has_waited=True)
        cases = (
            (_read(2, 110), UseMember(upstream_id=_R1)),
            (_read(1, 90), UseMember(upstream_id=_R1)),
            (_read(2, 115), wait),
            (waited, _USE_PRIMARY),
            (SessionRead(position=None), _CONFIRM),
            (replace(_read(3, 1), has_waited=True), WaitForPrimary()),
        )
        for request, expected in cases:
            with self.subTest(request=request):
                self.assertEqual(expected, _route(request))
        known = _route(_read(2, 115), known={_R2: _at(2, 115)})
        self.assertEqual(UseMember(upstream_id=_R2), known)

    def test_truncated_positions(self) -> None:
        """Guards against serving a read whose session has lost a write."""
        lost = _route(_read(1, 100))
        assert isinstance(lost, Refuse)
        self.assertEqual(9013, lost.error.code)
        index = SessionRead(position=_at(1, 100), is_read_index=True)
        self.assertEqual(_CONFIRM, _route(index))

    def test_bounded_reads_count_the_age_of_the_observation(self) -> None:
        """Guards against returning data that is older than the bound."""
        bound = BoundedRead(max_age_ms=1000)
        self.assertIsInstance(_route(bound, now=0.9), UseMember)
        self.assertEqual(UseMember(upstream_id=_R2), _route(bound, now=0.99))
        self.assertEqual(_USE_PRIMARY, _route(bound, now=0.999))
        self.assertEqual(_CONFIRM, _route(bound, now=1.1))
        orphaned = _route(bound, replace(_VIEW, primary=None), now=1.1)
        assert isinstance(orphaned, WaitForPrimary)
        assert orphaned.error is not None
        self.assertIn('max_age_ms=1000', orphaned.error.message)

    def test_member_of_an_older_term_has_no_known_age(self) -> None:
        """Guards against reading from a follower of a replaced primary."""
        view = replace(_VIEW, term=Term(3))
        self.assertIsInstance(
            _route(BoundedRead(max_age_ms=1000), view), ObtainReadIndex
        )

    def test_leaving_members_get_no_work(self) -> None:
        """Guards against new work on a member that is leaving."""
        leaving = tuple(replace(one, leaving=True) for one in _VIEW.members)
        view = replace(_VIEW, members=leaving)
        for request in (
            WriteRequest(),
            _read(2, 110),
            BoundedRead(max_age_ms=1000),
        ):
            with self.subTest(request=request):
                self.assertIsInstance(_route(request, view), WaitForPrimary)

    def test_least_loaded_replica_in_the_same_region(self) -> None:
        """Guards against reads that cross regions or join a long queue."""
        primary = MemberLoad(in_flight=40, slots=2, latency_ms=5)
        cases = ((2, 45, _R1), (40, 45, _R2), (1, 6, _R1), (2, 6, _R2))
        for in_flight, far_ms, expected in cases:
            near = MemberLoad(in_flight=in_flight, slots=2, latency_ms=5)
            far = MemberLoad(slots=2, latency_ms=far_ms)
            loads = {_P: primary, _R1: near, _R2: far}
            with self.subTest(in_flight=in_flight, far_ms=far_ms):
                self.assertEqual(
                    UseMember(upstream_id=expected),
                    _route(_read(2, 110), _FAR_VIEW, loads=loads),
                )

    def test_way_to_another_region_counts_once(self) -> None:
        """Guards against idle replicas elsewhere beside a busy primary.

        A measured latency includes the way, an assumed one is used before.
        """
        primary = MemberLoad(in_flight=7, slots=2, latency_ms=4)
        cases = ((0, _USE_PRIMARY), (5, UseMember(upstream_id=_R2)))
        for far_ms, expected in cases:
            far = MemberLoad(slots=2, latency_ms=far_ms, routed_at=0)
            with self.subTest(far_ms=far_ms):
                self.assertEqual(
                    expected,
                    _route(
                        _read(2, 110),
                        _FAR_VIEW,
                        loads={
                            _P: primary,
                            _R1: MemberLoad(is_ejected=True),
                            _R2: far,
                        },
                    ),
                )

    def test_replica_without_reads_is_measured_again(self) -> None:
        """Guards against a latency that keeps a replica idle for ever."""
        slow = MemberLoad(slots=2, latency_ms=400, routed_at=10)
        loads = {_P: MemberLoad(slots=2, latency_ms=4), _R1: slow}
        for request in (_read(2, 110), BoundedRead(max_age_ms=60_000)):
            with self.subTest(request=request):
                loads[_R2] = replace(slow)
                before = _route(request, loads=loads, now=14.9)
                self.assertEqual(before, _USE_PRIMARY)
                loads[_R2] = replace(slow, is_ejected=True)
                after = _route(request, loads=loads, now=15)
                self.assertEqual(after, UseMember(upstream_id=_R1))

    def test_replica_without_share(self) -> None:
        """Guards against reads that wait where the proxy may not connect."""
        every_member = frozenset((_P, _R1, _R2))
        cases = (
            (_read(2, 110), frozenset((_R1,)), WaitOnMember),
            (_read(2, 110), frozenset((_R1, _R2)), UsePrimary),
            (BoundedRead(max_age_ms=60), frozenset((_R1, _R2)), UsePrimary),
            (_read(2, 110), every_member, UseMember),
        )
        for request, without_share, kind in cases:
            with self.subTest(request=request, without_share=without_share):
                decision = _route(request, without_share=without_share)
                self.assertIsInstance(decision, kind)

    def test_ejected_replica(self) -> None:
        """Guards against reads on an ejected member."""
        loads = {_R1: MemberLoad(is_ejected=True)}
        decision = _route(_read(2, 110), loads=loads)
        self.assertIsInstance(decision, WaitOnMember)
