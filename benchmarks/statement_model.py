"""Discrete-event simulation of one group in virtual time.

Members execute statements in slots with a first-in-first-out queue; no
network is used. A replica applies a write `lag` seconds after its commit.
Proxies see the members through announcements that are up to 350 ms old.
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
_HISTORY_S = 40.0
_HISTORY_INTERVAL_S = 0.01
_LATENCY_WEIGHT = 0.1


class GroupRun:
    """One run of the event model."""

    def __init__(self, setup: Setup, policy: Policy, seed: int) -> None:
        """Create members, proxies and a history of committed writes."""
        self.result = Result(duration_s=setup.duration_s)
        self._setup = setup
        self._policy = policy
        self._random = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._now = 0.0
        self._scheduled_count = 0
        deployment = setup.deployment
        self._lag = dict(zip(MEMBERS, (0.0, *setup.lags), strict=True))
        history_length = int(_HISTORY_S / _HISTORY_INTERVAL_S)
        self._commits = [
            (index - history_length) * _HISTORY_INTERVAL_S
            for index in range(history_length)
        ]
        self._session_positions = [
            self._random.randrange(1, history_length) for _ in range(SESSIONS)
        ]
        for index in range(0, SESSIONS, 5):
            self._session_positions[index] = 0
        self._queues: dict[UpstreamId, deque[Callable[[], None]]] = {
            name: deque() for name in MEMBERS
        }
        self._free_slots = dict.fromkeys(MEMBERS, deployment.slots)
        self._loads = [
            {name: MemberLoad(slots=deployment.slots) for name in MEMBERS}
            for _ in range(PROXIES)
        ]
        self._known_positions: list[dict[UpstreamId, LogPosition]] = [
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
        self._read_index_ends = [0.0] * PROXIES
        self.view = self._build_view()

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
                proxy=self._random.choice(setup.entry_proxies),
                arrived_at=now,
                service_s=self._random.expovariate(1 / SERVICE_S),
            )
            offered = self.result.offered
            offered[statement.kind] = offered.get(statement.kind, 0) + 1
            caller_delay_s = setup.deployment.caller_ms / 1000
            self._schedule(
                now + caller_delay_s, functools.partial(self._arrive, statement)
            )
        end = setup.duration_s + DEADLINE_S
        for tick in range(int(end / _VIEW_INTERVAL_S)):
            self._schedule(tick * _VIEW_INTERVAL_S, self._refresh_view)
        while self._events:
            self._now, _, action = heapq.heappop(self._events)
            action()
        return self.result

    def _schedule(self, time: float, action: Callable[[], None]) -> None:
        self._scheduled_count += 1
        heapq.heappush(self._events, (time, self._scheduled_count, action))

    def _refresh_view(self) -> None:
        self.view = self._build_view()

    # Proxy

    def _arrive(self, statement: Statement) -> None:
        if not self._setup.uses_admission:
            self._route(statement, self._request(statement))
            return
        queue = self._admission[statement.proxy]
        statement.admission = AdmissionRequest(
            caller_id=CallerId(str(statement.session)),
            queue_class=statement.kind,
            needs_primary=statement.kind >= QueueClass.write,
            deadline=statement.arrived_at + DEADLINE_S,
        )
        may_start = self._may_start(statement.proxy)
        if queue.try_start(statement.admission, self._now, may_start):
            self._route(statement, self._request(statement))
            return
        enqueued = queue.enqueue(statement.admission, self._now)
        if enqueued.is_ok():
            self._queued[statement.admission] = statement
            self._start_queued(statement.proxy)

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

    def _start_queued(self, proxy: int) -> None:
        queue = self._admission[proxy]
        for admission in queue.start_queued(self._now, self._may_start(proxy)):
            statement = self._queued.pop(admission)
            self._route(statement, self._request(statement))

    def _request(self, statement: Statement) -> Request:
        if statement.kind >= QueueClass.write:
            return WriteRequest()
        if statement.kind is QueueClass.stale:
            return BoundedRead(max_age_ms=self._setup.deployment.max_age_ms)
        position = self._session_positions[statement.session]
        return SessionRead(
            position=_log_position(position) if position else None
        )

    def _route(self, statement: Statement, request: Request) -> None:
        routing_input = RoutingInput(
            region=self._setup.proxy_region(statement.proxy),
            view=self.view,
            loads=self._loads[statement.proxy],
            known_positions=self._known_positions[statement.proxy],
            now=self._now,
            tie_breaker=self._random.random(),
        )
        decision = self._policy(request, routing_input)
        match decision:
            case UseMember(upstream_id=name) | UsePrimary(upstream_id=name):
                self._send(statement, name, request)
            case WaitOnMember(upstream_id=name, position=position):
                timeout_s = decision.timeout_ms / 1000
                self._wait_for_position(statement, name, position, timeout_s)
            case ObtainReadIndex():
                self._obtain_read_index(statement)
            case _:
                self._record_outcome(statement, is_done=False)

    def _wait_for_position(
        self,
        statement: Statement,
        name: UpstreamId,
        position: LogPosition,
        timeout_s: float,
    ) -> None:
        replicated_at = self._commits[position.position - 1] + self._lag[name]
        round_trip_s = 2 * self._setup.one_way_s(statement.proxy, name)
        wait_s = max(0, replicated_at - self._now)
        is_replicated = wait_s <= timeout_s
        request = SessionRead(position=position, has_waited=True)

        def finish_wait() -> None:
            if is_replicated:
                self._known_positions[statement.proxy][name] = position
                self._send(statement, name, request)
            else:
                self._route(statement, request)

        self._schedule(
            self._now + min(wait_s, timeout_s) + round_trip_s, finish_wait
        )

    def _obtain_read_index(self, statement: Statement) -> None:
        round_trip_s = 2 * self._setup.one_way_s(statement.proxy, PRIMARY)
        round_starts_at = max(self._now, self._read_index_ends[statement.proxy])
        if round_starts_at == self._now:
            self._read_index_ends[statement.proxy] = (
                round_starts_at + round_trip_s
            )

        def finish_round() -> None:
            position = _log_position(
                bisect.bisect(self._commits, round_starts_at + round_trip_s / 2)
            )
            request = SessionRead(position=position, is_read_index=True)
            self._read_index_ends[statement.proxy] = max(
                self._read_index_ends[statement.proxy], self._now
            )
            self._route(statement, request)

        self._schedule(round_starts_at + round_trip_s, finish_round)

    def _send(
        self, statement: Statement, name: UpstreamId, request: Request
    ) -> None:
        load = self._loads[statement.proxy][name]
        load.in_flight += 1
        load.routed_at = self._now
        sent_at = self._now
        one_way_s = self._setup.one_way_s(statement.proxy, name)

        def receive_answer() -> None:
            latency_ms = (self._now - sent_at) * 1000
            in_flight = load.in_flight
            load.in_flight -= 1
            load.latency_ms += _LATENCY_WEIGHT * (latency_ms - load.latency_ms)
            limit = self._limits[statement.proxy][name]
            limit.record(latency_ms, in_flight, self._now)
            self._handle_answer(statement, name)

        def finish_execution() -> None:
            self._record_execution(statement, name, request)
            self._free_slots[name] += 1
            if self._queues[name]:
                self._queues[name].popleft()()
            self._schedule(self._now + one_way_s, receive_answer)

        def start_execution() -> None:
            # A member executes every statement that reaches it, also after
            # the deadline, when the proxy no longer waits for the answer.
            self._free_slots[name] -= 1
            self._schedule(self._now + statement.service_s, finish_execution)

        def arrive_at_member() -> None:
            if self._free_slots[name]:
                start_execution()
            else:
                self._queues[name].append(start_execution)

        self._schedule(self._now + one_way_s, arrive_at_member)

    def _record_execution(
        self,
        statement: Statement,
        name: UpstreamId,
        request: Request,
    ) -> None:
        lag = self._lag[name]
        match request:
            case WriteRequest():
                self._commits.append(self._now)
                statement.position = len(self._commits)
            case BoundedRead(max_age_ms=max_age_ms):
                self.result.stale_answers += lag * 1000 > max_age_ms
            case SessionRead(position=LogPosition(position=position)):
                replicated_position = bisect.bisect(
                    self._commits, self._now - lag
                )
                self.result.stale_answers += replicated_position < position

    def _handle_answer(self, statement: Statement, name: UpstreamId) -> None:
        wait_s = 0.0
        if statement.position and self._policy.confirms:
            round_trip_s = 2 * self._setup.one_way_s(statement.proxy, name)
            replicated_at = self._commits[statement.position - 1] + min(
                self._setup.lags
            )
            wait_s = max(0, replicated_at - self._now) + round_trip_s

        def finish_write() -> None:
            if statement.position:
                self._session_positions[statement.session] = statement.position
            self._record_outcome(
                statement, is_done=True, on_replica=name != PRIMARY
            )

        if wait_s:
            self._finish_admission(statement)
            self._schedule(self._now + wait_s, finish_write)
        else:
            self._finish_admission(statement)
            finish_write()

    def _finish_admission(self, statement: Statement) -> None:
        if statement.admission is not None:
            self._admission[statement.proxy].finish(
                statement.admission, self._now
            )
            self._start_queued(statement.proxy)

    def _record_outcome(
        self,
        statement: Statement,
        *,
        is_done: bool,
        on_replica: bool = False,
    ) -> None:
        latency_s = self._now - statement.arrived_at
        latency_s += self._setup.deployment.caller_ms / 1000
        if not is_done or latency_s > DEADLINE_S:
            return
        result = self.result
        result.latencies_ms.append(latency_s * 1000)
        result.done[statement.kind] = result.done.get(statement.kind, 0) + 1
        if statement.kind <= QueueClass.session:
            result.replica_reads += on_replica

    # Announcements

    def _build_view(self) -> GroupView:
        observed_at = self._now - _OBSERVATION_AGE_S
        return GroupView(
            group_id=GROUP,
            term=Term(1),
            primary=PRIMARY,
            member_ids=frozenset(MEMBERS),
            members=tuple(
                self._member_view(name, observed_at) for name in MEMBERS
            ),
            term_history=(TermStart(term=Term(1), first_position=1),),
        )

    def _member_view(self, name: UpstreamId, observed_at: float) -> MemberView:
        lag = self._lag[name]
        replicated_position = bisect.bisect(self._commits, observed_at - lag)
        return MemberView(
            upstream_id=name,
            group_id=GROUP,
            region=self._setup.member_region(name),
            failure_domain=FailureDomain(name),
            host='127.0.0.1',
            port=3306,
            connection_limit=self._setup.deployment.connections,
            slots=self._setup.deployment.slots,
            leaving=False,
            status=MemberStatus(
                promised_term=Term(1),
                last_entry=_log_position(replicated_position),
                role=MemberRole.replica,
                primary_contact_ms=0,
                applied_age_ms=int(lag * 1000),
                connections=0,
            ),
            observed_at=observed_at,
        )


def _log_position(position: int) -> LogPosition:
    return LogPosition(term=Term(1), position=position)
