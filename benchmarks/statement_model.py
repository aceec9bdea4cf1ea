"""Event model of one group in virtual time, without a network.

Members execute statements in slots with a first-in-first-out queue. A
replica holds a write `lag` after its commit. Proxies see members through
announcements that are up to 350 ms old.
"""

import bisect
import functools
import heapq
import random
from collections import deque
from collections.abc import Callable

from benchmarks.statement_policies import Policy, RoutingInput
from benchmarks.statement_setup import (
    DEADLINE_S,
    GROUP,
    MEMBERS,
    PRIMARY,
    PROXIES,
    REGION,
    SERVICE_S,
    SESSIONS,
    Result,
    Setup,
    Statement,
)
from lavendergate.core.adaptive_limit import AdaptiveLimit
from lavendergate.core.admission import (
    AdmissionQueue,
    AdmissionRequest,
    AdmissionSettings,
    QueueClass,
)
from lavendergate.core.decisions import (
    BoundedRead,
    ObtainReadIndex,
    Request,
    SessionRead,
    UseMember,
    UsePrimary,
    WaitOnMember,
    WriteRequest,
)
from lavendergate.core.member_load import MemberLoad
from lavendergate.core.types import (
    CallerId,
    FailureDomain,
    GroupView,
    LogPosition,
    MemberRole,
    MemberStatus,
    MemberView,
    Term,
    TermStart,
    UpstreamId,
)

_VIEW_INTERVAL_S = 0.25
_OBSERVATION_AGE_S = 0.1
_PAST_S = 40.0
_PAST_INTERVAL_S = 0.01
_LATENCY_WEIGHT = 0.1


class GroupRun:
    """One run of the event model."""

    def __init__(self, setup: Setup, policy: Policy, seed: int) -> None:
        """Create members, proxies and a past with writes."""
        self.result = Result(duration_s=setup.duration_s)
        self._setup = setup
        self._policy = policy
        self._random = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._now = 0.0
        self._count = 0
        deployment = setup.deployment
        self._lag = dict(zip(MEMBERS, (0.0, *setup.lags), strict=True))
        past = int(_PAST_S / _PAST_INTERVAL_S)
        self._commits = [
            (index - past) * _PAST_INTERVAL_S for index in range(past)
        ]
        self._tokens = [
            self._random.randrange(1, past) for _ in range(SESSIONS)
        ]
        for index in range(0, SESSIONS, 5):
            self._tokens[index] = 0
        self._queues: dict[UpstreamId, deque[Callable[[], None]]] = {
            name: deque() for name in MEMBERS
        }
        self._free = dict.fromkeys(MEMBERS, deployment.slots)
        self._loads = [
            {name: MemberLoad(slots=deployment.slots) for name in MEMBERS}
            for _ in range(PROXIES)
        ]
        self._known: list[dict[UpstreamId, LogPosition]] = [
            {} for _ in range(PROXIES)
        ]
        share = max(1, deployment.connections // PROXIES)
        self._limits = [
            {name: AdaptiveLimit.create(share, 0) for name in MEMBERS}
            for _ in range(PROXIES)
        ]
        self._admission = [
            AdmissionQueue(group_id=GROUP, settings=AdmissionSettings())
            for _ in range(PROXIES)
        ]
        self._queued: dict[AdmissionRequest, Statement] = {}
        self._round_ends = [0.0] * PROXIES
        self.view = self._observe()

    def run(self) -> Result:
        """Run until the last statement has ended."""
        setup = self._setup
        capacity = len(MEMBERS) * setup.deployment.slots / SERVICE_S
        rate = capacity * setup.load
        now = 0.0
        kinds = list(setup.deployment.mix)
        weights = list(setup.deployment.mix.values())
        while True:
            now += self._random.expovariate(rate)
            if now > setup.duration_s:
                break
            statement = Statement(
                kind=self._random.choices(kinds, weights)[0],
                session=self._random.randrange(SESSIONS),
                proxy=self._random.randrange(PROXIES),
                arrived=now,
                service_s=self._random.expovariate(1 / SERVICE_S),
            )
            offered = self.result.offered
            offered[statement.kind] = offered.get(statement.kind, 0) + 1
            caller_s = setup.deployment.caller_ms / 1000
            self._at(now + caller_s, functools.partial(self._arrive, statement))
        end = setup.duration_s + DEADLINE_S
        for tick in range(int(end / _VIEW_INTERVAL_S)):
            self._at(tick * _VIEW_INTERVAL_S, self._refresh)
        while self._events:
            self._now, _, action = heapq.heappop(self._events)
            action()
        return self.result

    def _at(self, time: float, action: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (time, self._count, action))

    def _refresh(self) -> None:
        self.view = self._observe()

    # Proxy

    def _arrive(self, one: Statement) -> None:
        if not self._setup.admits:
            self._route(one, self._request(one))
            return
        queue = self._admission[one.proxy]
        one.admission = AdmissionRequest(
            caller_id=CallerId(str(one.session)),
            queue_class=one.kind,
            needs_primary=one.kind >= QueueClass.write,
            deadline=one.arrived + DEADLINE_S,
        )
        may_start = self._may_start(one.proxy)
        if queue.try_start(one.admission, self._now, may_start):
            self._route(one, self._request(one))
            return
        offered = queue.enqueue(one.admission, self._now)
        if offered.is_ok():
            self._queued[one.admission] = one
            self._drain(one.proxy)

    def _may_start(self, proxy: int) -> Callable[[AdmissionRequest], bool]:
        limits, loads = self._limits[proxy], self._loads[proxy]
        granted = dict.fromkeys(MEMBERS, 0)

        def may_start(request: AdmissionRequest) -> bool:
            names = MEMBERS[:1] if request.needs_primary else MEMBERS[1:]
            for name in names:
                used = loads[name].in_flight + granted[name]
                if used < limits[name].allowed:
                    granted[name] += 1
                    return True
            return False

        return may_start

    def _drain(self, proxy: int) -> None:
        queue = self._admission[proxy]
        for admission in queue.start_queued(self._now, self._may_start(proxy)):
            one = self._queued.pop(admission)
            self._route(one, self._request(one))

    def _request(self, one: Statement) -> Request:
        if one.kind >= QueueClass.write:
            return WriteRequest()
        if one.kind is QueueClass.stale:
            return BoundedRead(max_age_ms=self._setup.deployment.max_age_ms)
        position = self._tokens[one.session]
        return SessionRead(position=_at(position) if position else None)

    def _route(self, one: Statement, request: Request) -> None:
        given = RoutingInput(
            view=self.view,
            loads=self._loads[one.proxy],
            known=self._known[one.proxy],
            now=self._now,
            tie=self._random.random(),
        )
        decision = self._policy(request, given)
        match decision:
            case UseMember(upstream_id=name) | UsePrimary(upstream_id=name):
                self._send(one, name, request)
            case WaitOnMember(upstream_id=name, position=position):
                timeout_s = decision.timeout_ms / 1000
                self._wait(one, name, position, timeout_s)
            case ObtainReadIndex():
                self._read_index(one)
            case _:
                self._end(one, is_done=False)

    def _wait(
        self,
        one: Statement,
        name: UpstreamId,
        position: LogPosition,
        timeout_s: float,
    ) -> None:
        held_at = self._commits[position.position - 1] + self._lag[name]
        way_s = 2 * self._setup.deployment.member_ms / 1000
        wait_s = max(0, held_at - self._now)
        is_held = wait_s <= timeout_s
        request = SessionRead(position=position, has_waited=True)

        def ended() -> None:
            if is_held:
                self._known[one.proxy][name] = position
                self._send(one, name, request)
            else:
                self._route(one, request)

        self._at(self._now + min(wait_s, timeout_s) + way_s, ended)

    def _read_index(self, one: Statement) -> None:
        way_s = 2 * self._setup.deployment.member_ms / 1000
        start = max(self._now, self._round_ends[one.proxy])
        if start == self._now:
            self._round_ends[one.proxy] = start + way_s

        def ended() -> None:
            position = _at(bisect.bisect(self._commits, start + way_s / 2))
            request = SessionRead(position=position, is_read_index=True)
            self._round_ends[one.proxy] = max(
                self._round_ends[one.proxy], self._now
            )
            self._route(one, request)

        self._at(start + way_s, ended)

    def _send(self, one: Statement, name: UpstreamId, request: Request) -> None:
        load = self._loads[one.proxy][name]
        load.in_flight += 1
        sent = self._now
        way_s = self._setup.deployment.member_ms / 1000

        def returned() -> None:
            latency_ms = (self._now - sent) * 1000
            in_flight = load.in_flight
            load.in_flight -= 1
            load.latency_ms += _LATENCY_WEIGHT * (latency_ms - load.latency_ms)
            limit = self._limits[one.proxy][name]
            limit.record(latency_ms, in_flight, self._now)
            self._returned(one, name)

        def executed() -> None:
            self._execute(one, name, request)
            self._free[name] += 1
            if self._queues[name]:
                self._queues[name].popleft()()
            self._at(self._now + way_s, returned)

        def start() -> None:
            # A proxy that gave the statement up no longer waits for it, but
            # the member executes what it was sent.
            self._free[name] -= 1
            self._at(self._now + one.service_s, executed)

        def reached() -> None:
            if self._free[name]:
                start()
            else:
                self._queues[name].append(start)

        self._at(self._now + way_s, reached)

    def _execute(
        self,
        one: Statement,
        name: UpstreamId,
        request: Request,
    ) -> None:
        lag = self._lag[name]
        match request:
            case WriteRequest():
                self._commits.append(self._now)
                one.position = len(self._commits)
            case BoundedRead(max_age_ms=max_age_ms):
                self.result.stale_answers += lag * 1000 > max_age_ms
            case SessionRead(position=LogPosition(position=position)):
                held = bisect.bisect(self._commits, self._now - lag)
                self.result.stale_answers += held < position

    def _returned(self, one: Statement, name: UpstreamId) -> None:
        wait_s = 0.0
        if one.position and self._policy.confirms:
            way_s = 2 * self._setup.deployment.member_ms / 1000
            held_at = self._commits[one.position - 1] + min(self._setup.lags)
            wait_s = max(0, held_at - self._now) + way_s

        def confirmed() -> None:
            if one.position:
                self._tokens[one.session] = one.position
            self._end(one, is_done=True, on_replica=name != PRIMARY)

        if wait_s:
            self._finish(one)
            self._at(self._now + wait_s, confirmed)
        else:
            self._finish(one)
            confirmed()

    def _finish(self, one: Statement) -> None:
        if one.admission is not None:
            self._admission[one.proxy].finish(one.admission, self._now)
            self._drain(one.proxy)

    def _end(
        self,
        one: Statement,
        *,
        is_done: bool,
        on_replica: bool = False,
    ) -> None:
        latency_s = self._now - one.arrived
        latency_s += self._setup.deployment.caller_ms / 1000
        if not is_done or latency_s > DEADLINE_S:
            return
        result = self.result
        result.latencies_ms.append(latency_s * 1000)
        result.done[one.kind] = result.done.get(one.kind, 0) + 1
        if one.kind <= QueueClass.session:
            result.replica_reads += on_replica

    # Announcements

    def _observe(self) -> GroupView:
        observed_at = self._now - _OBSERVATION_AGE_S
        return GroupView(
            group_id=GROUP,
            term=Term(1),
            primary=PRIMARY,
            member_ids=frozenset(MEMBERS),
            members=tuple(self._member(name, observed_at) for name in MEMBERS),
            term_history=(TermStart(term=Term(1), first_position=1),),
        )

    def _member(self, name: UpstreamId, observed_at: float) -> MemberView:
        lag = self._lag[name]
        held = bisect.bisect(self._commits, observed_at - lag)
        return MemberView(
            upstream_id=name,
            group_id=GROUP,
            region=REGION,
            failure_domain=FailureDomain(name),
            host='127.0.0.1',
            port=3306,
            connection_limit=self._setup.deployment.connections,
            slots=self._setup.deployment.slots,
            leaving=False,
            status=MemberStatus(
                promised_term=Term(1),
                last_entry=_at(held),
                role=MemberRole.replica,
                primary_contact_ms=0,
                applied_age_ms=int(lag * 1000),
                connections=0,
            ),
            observed_at=observed_at,
        )


def _at(position: int) -> LogPosition:
    return LogPosition(term=Term(1), position=position)
