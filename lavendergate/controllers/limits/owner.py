"""Grants operations of customers' limits to all proxies."""

import math
from collections.abc import Callable, Iterable

import anyio

from lavendergate.controllers.waiters import TaskStarter
from lavendergate.core.customers.table import CustomerTable
from lavendergate.core.limits.budget import OwnerLimit, Tolerance, divide
from lavendergate.core.limits.ledger import (
    Declined,
    Exhausted,
    Granted,
    HandedOver,
    Handover,
    NoOtherOwner,
    OwnerLedger,
    UnknownOwner,
)
from lavendergate.core.limits.owners import (
    ProxySet,
    SlotId,
    collect_proxies,
)
from lavendergate.core.limits.ownership import (
    UNKNOWN_LEADERSHIP,
    Leadership,
    OwnershipView,
)
from lavendergate.core.relays.homes import ProxyAddress
from lavendergate.observability.log import EventLog
from lavendergate.observability.session_events import SessionEvent
from lavendergate.rpc.limit_service import (
    LimitAnswer,
    LimitQuestion,
    LimitReply,
    LimitRequest,
    LimitTransport,
)
from lavendergate.rpc.relay_transport import RelayLostError, RelayNotSentError

# Time for the answer of a predecessor, in seconds. It is several times the
# round trip between regions.
_HANDOVER_TIMEOUT_S = 0.3
DECLINED = -1
_MS_PER_S = 1000
_DECLINED_ANSWER = LimitAnswer(granted=DECLINED)


class LimitOwner:
    """Grants the operations of the slots that this proxy owns.

    Parameters
    ----------
    own_address
        Address of this proxy, ``ip:port``.
    tolerance
        Tolerated excess over a limit.
    customers
        Returns the customers in force; None if callers are not identified.
    transport
        Calls the former owners of slots.
    tasks
        Runs those calls.
    real_clock
        Time that also passes while the host is suspended, in seconds.
    """

    def __init__(
        self,
        *,
        own_address: str,
        tolerance: Tolerance,
        customers: Callable[[], CustomerTable | None],
        transport: LimitTransport,
        tasks: TaskStarter,
        real_clock: Callable[[], float],
        events: EventLog,
    ) -> None:
        self._own_address = own_address
        self._tolerance = tolerance
        self._customers = customers
        self._transport = transport
        self._tasks = tasks
        self._real_clock = real_clock
        self._events = events
        self._ledger = OwnerLedger(view=OwnershipView(own_address=own_address))
        self._claims: set[SlotId] = set()

    @property
    def own_address(self) -> str:
        """Address of this proxy, ``ip:port``."""
        return self._own_address

    @property
    def proxies(self) -> ProxySet:
        """Live proxies, from which the owners follow."""
        return self._ledger.proxies

    def confirm(
        self, sent_at: float, leadership: Leadership = UNKNOWN_LEADERSHIP
    ) -> None:
        """Record an answer of the control leader; see `OwnershipView`."""
        self._ledger.view.confirm(sent_at, self._real_clock(), leadership)

    def change_proxies(
        self,
        proxies: Iterable[ProxyAddress],
        *,
        source: str,
        sent_at: float,
        leadership: Leadership = UNKNOWN_LEADERSHIP,
    ) -> None:
        """Replace the live proxies; see `OwnershipView`."""
        self._ledger.view.replace(
            collect_proxies(proxies),
            source=source,
            sent_at=sent_at,
            now=self._real_clock(),
            leadership=leadership,
        )

    def stop(self) -> None:
        """Grant no more operations; they are still handed over."""
        self._ledger.is_stopping = True

    async def handle(self, request: LimitRequest) -> LimitReply:
        """Answer the questions of a proxy."""
        return LimitReply(
            answers=tuple(
                self.answer(question, request.sender)
                for question in request.questions
            )
        )

    def answer(self, question: LimitQuestion, sender: str) -> LimitAnswer:
        """Answer one question.

        Parameters
        ----------
        sender
            Address of the proxy that asks, ``ip:port``.
        """
        now = self._real_clock()
        slot = SlotId(customer=question.customer, number=question.slot)
        limit = self._limit_of(slot)
        if limit is None:
            return _DECLINED_ANSWER
        if not question.wanted:
            return self._hand_over(slot, sender, limit, now)
        decision = self._ledger.ask(slot, question.wanted, limit, now)
        match decision:
            case Granted(operations=operations):
                return LimitAnswer(granted=operations)
            case Exhausted(retry_after_s=retry_after_s):
                return LimitAnswer(
                    granted=0,
                    retry_after_ms=math.ceil(retry_after_s * _MS_PER_S),
                )
            case Declined(predecessor=predecessor):
                if predecessor is not None and slot not in self._claims:
                    self._claims.add(slot)
                    self._tasks.start_soon(self._claim, slot, predecessor)
                return _DECLINED_ANSWER

    def _hand_over(
        self, slot: SlotId, successor: str, limit: OwnerLimit, now: float
    ) -> LimitAnswer:
        handover = self._ledger.hand_over(slot, successor, limit, now)
        match handover:
            case HandedOver(tokens=tokens):
                self._events.emit(
                    SessionEvent.limit_handed_over,
                    customer=slot.customer,
                    slot=slot.number,
                    successor=successor,
                    operations=math.floor(tokens),
                )
                return LimitAnswer(granted=DECLINED, tokens=tokens)
            case NoOtherOwner():
                return LimitAnswer(granted=DECLINED, is_free=True)
            case UnknownOwner():
                return _DECLINED_ANSWER

    async def _claim(self, slot: SlotId, predecessor: str) -> None:
        """Ask the owner before this one for its operations."""
        try:
            asked_at = self._real_clock()
            handover = await self._ask_predecessor(slot, predecessor)
            limit = self._limit_of(slot)
            if limit is None:
                return
            self._ledger.take_over(
                slot,
                handover,
                limit,
                asked_at=asked_at,
                now=self._real_clock(),
            )
        finally:
            self._claims.discard(slot)
        if isinstance(handover, HandedOver | NoOtherOwner):
            self._events.emit(
                SessionEvent.limit_taken_over,
                customer=slot.customer,
                slot=slot.number,
                predecessor=predecessor,
                operations=_operations(handover),
            )

    async def _ask_predecessor(
        self, slot: SlotId, predecessor: str
    ) -> Handover:
        request = LimitRequest(
            sender=self._own_address,
            questions=(
                LimitQuestion(
                    customer=slot.customer, slot=slot.number, wanted=0
                ),
            ),
        )
        try:
            with anyio.fail_after(_HANDOVER_TIMEOUT_S):
                reply = await self._transport.ask_limits(predecessor, request)
        except (TimeoutError, RelayNotSentError, RelayLostError):
            return UnknownOwner()
        answer = reply.answers[0]
        if answer.tokens is not None:
            return HandedOver(tokens=answer.tokens)
        return NoOtherOwner() if answer.is_free else UnknownOwner()

    def _limit_of(self, slot: SlotId) -> OwnerLimit | None:
        table = self._customers()
        customer = None if table is None else table.customers.get(slot.customer)
        if customer is None or customer.limit is None:
            return None
        return divide(customer.limit, self._tolerance)


def _operations(handover: HandedOver | NoOtherOwner) -> int:
    match handover:
        case HandedOver(tokens=tokens):
            return math.floor(tokens)
        case NoOtherOwner():
            return 0
