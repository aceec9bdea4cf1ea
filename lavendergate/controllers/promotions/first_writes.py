"""Holds the first writes to promoted members on a proxy."""

from collections import Counter
from collections.abc import Callable, Container, Mapping
from dataclasses import dataclass

from lavendergate.controllers.fleet_view import FleetView
from lavendergate.controllers.members.questions import MemberQuestions
from lavendergate.controllers.promotions.term_followers import (
    DEFAULT_BOUND_S,
    EndedHold,
    TermFollowers,
)
from lavendergate.controllers.session_pools import SessionPools
from lavendergate.controllers.waiters import TaskStarter
from lavendergate.core.fleet_directory import MemberEntry
from lavendergate.core.promotions.write_hold import (
    HoldEnd,
    RefuseWrite,
    SendWrite,
    WaitForFollowers,
    WriteDecision,
    decide_write,
)
from lavendergate.core.sessions.statements import (
    MemberReport,
    RefusalCode,
    Refused,
)
from lavendergate.core.types import GroupId
from lavendergate.observability.exposition import HttpMetrics
from lavendergate.observability.log import EventLog
from lavendergate.observability.session_events import SessionEvent
from lavendergate.rpc.fleet_service import PrimaryNotice

# Least pause between two questions to a replica, in seconds.
_QUESTION_INTERVAL_S = 0.01
# The same for each proxy that may ask it, in seconds: a question takes one of
# the few slots of a replica, so all proxies together ask 250 times a second.
# With 75 proxies and more, only the control leader asks within the bound.
_INTERVAL_PER_PROXY_S = 0.004
# Proxies that are assumed until control has counted them.
_ASSUMED_PROXIES = 12
_MS_PER_S = 1000


@dataclass(frozen=True, kw_only=True, slots=True)
class HeldWrite:
    """How the wait of a write ended.

    Parameters
    ----------
    held_s
        Time that it waited, in seconds; 0 if it did not have to wait.
    refusal
        Why it is not sent; None if it may be sent.
    """

    held_s: float = 0
    refusal: Refused | None = None


class FirstWrites:
    """Holds writes until enough replicas follow the term of a new primary.

    A held write has neither a connection nor a slot of a member. It ends with
    the first of: the replicas' own answers, word of the control leader, and
    the bound.

    Parameters
    ----------
    view
        Members, primaries and routes as known to the proxy.
    pools
        Connections for questions to the replicas.
    tasks
        Starts the questions.
    bound_s
        Longest time for which writes of a new term wait, in seconds; 0 for no
        wait.
    clock, monotonic
        Clock of samples, and monotonic time, in seconds.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        pools: SessionPools,
        tasks: TaskStarter,
        clock: Callable[[], float],
        monotonic: Callable[[], float],
        events: EventLog,
        metrics: HttpMetrics,
        bound_s: float = DEFAULT_BOUND_S,
    ) -> None:
        self._view = view
        self._questions = MemberQuestions(
            pools=pools, clock=clock, monotonic=monotonic
        )
        self._monotonic = monotonic
        self._events = events
        self._metrics = metrics
        # Writes that have waited for the present hold, or were refused by it.
        self._held: Counter[GroupId] = Counter()
        self._refused: Counter[GroupId] = Counter()
        self._followers = TermFollowers(
            ask=self._ask,
            members_of=view.members_of,
            synchronous_replicas=self._synchronous_replicas,
            interval_s=self._interval_s,
            bound_s=bound_s,
            tasks=tasks,
            clock=monotonic,
            on_end=self._record_end,
        )
        view.observe_primaries(self._followers.begin)

    @property
    def unfollowed(self) -> tuple[GroupId, ...]:
        """Services whose writes are held."""
        return self._followers.unfollowed()

    def record_control(
        self,
        primaries: Mapping[GroupId, PrimaryNotice],
        unfollowed: Container[GroupId],
    ) -> None:
        """Record which terms are new to the control leader.

        Parameters
        ----------
        primaries
            Primaries that the leader has published.
        unfollowed
            Services among them whose term is new and not followed.
        """
        self._followers.record_control(primaries, unfollowed)

    async def wait(self, service: GroupId, deadline: float) -> HeldWrite:
        """Wait until a write may be sent to the primary of a service.

        Parameters
        ----------
        deadline
            Time by which the write must be answered, in seconds.
        """
        decision = self._decide(service, deadline)
        if not isinstance(decision, WaitForFollowers):
            return self._ended(service, decision, 0)
        self._held[service] += 1
        began_at = self._monotonic()
        while isinstance(decision, WaitForFollowers):
            await self._followers.wait_for_change(
                decision.until - self._monotonic()
            )
            decision = self._decide(service, deadline)
        return self._ended(service, decision, self._monotonic() - began_at)

    def _decide(self, service: GroupId, deadline: float) -> WriteDecision:
        hold = self._followers.hold_of(service)
        if hold is None:
            return SendWrite()
        return decide_write(
            hold,
            needed=self._followers.needed(service),
            now=self._monotonic(),
            deadline=deadline,
        )

    def _ended(
        self,
        service: GroupId,
        decision: SendWrite | RefuseWrite,
        held_s: float,
    ) -> HeldWrite:
        match decision:
            case SendWrite():
                return HeldWrite(held_s=held_s)
            case RefuseWrite(retry_after_s=retry_after_s):
                return HeldWrite(
                    held_s=held_s, refusal=self._refuse(service, retry_after_s)
                )

    def _refuse(self, service: GroupId, retry_after_s: float) -> Refused:
        self._refused[service] += 1
        self._metrics.held_writes.labels(HoldEnd.deadline.value).inc()
        return Refused(
            code=RefusalCode.busy,
            text=(
                'no replica follows the new primary yet; retry in '
                f'{round(retry_after_s * _MS_PER_S)} ms'
            ),
            retry_after_s=retry_after_s,
        )

    def _record_end(self, ended: EndedHold) -> None:
        service = ended.service
        held = self._held.pop(service, 0)
        refused = self._refused.pop(service, 0)
        self._metrics.held_writes.labels(ended.end.value).inc(held)
        if not (held or refused or ended.duration_s):
            # The term was new to this host alone, as at its start.
            return
        self._events.emit(
            SessionEvent.first_writes_released,
            service=service,
            upstream=ended.hold.claim.upstream_id,
            term=ended.hold.claim.term,
            outcome=ended.end.value,
            held_ms=round(ended.duration_s * _MS_PER_S),
            held=held,
            refused=refused,
        )

    async def _ask(self, member: MemberEntry) -> MemberReport | None:
        answer = await self._questions.ask(member)
        return None if answer is None else answer.report

    def _interval_s(self) -> float:
        proxies = self._view.proxies or _ASSUMED_PROXIES
        return max(_QUESTION_INTERVAL_S, proxies * _INTERVAL_PER_PROXY_S)

    def _synchronous_replicas(self, service: GroupId) -> int | None:
        limits = self._view.routes.services.get(service)
        return None if limits is None else limits.synchronous_replicas
