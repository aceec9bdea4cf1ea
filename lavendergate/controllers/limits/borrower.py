"""Borrows operations of customers' limits from their owners."""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
import xxhash

from lavendergate.controllers.limits.link import LimitLink
from lavendergate.controllers.limits.owner import DECLINED, LimitOwner
from lavendergate.controllers.waiters import TaskStarter
from lavendergate.core.customers.table import Customer, OperationLimit
from lavendergate.core.limits.allowance import Allowance
from lavendergate.core.limits.budget import Tolerance, divide
from lavendergate.core.limits.owners import SlotId
from lavendergate.rpc.limit_service import (
    LimitAnswer,
    LimitQuestion,
    LimitTransport,
)

# Pause before owners that cannot grant at present are asked again, in seconds.
# A successor is known within a few of them.
_RETRY_PAUSE_S = 0.05
# Wait that callers are not refused for while an owner is missing, in seconds.
_SHORT_WAIT_S = 0.15
# Least time for which an owner that has nothing to grant is not asked again, in
# seconds. It covers the round trips to the other owners, so that a customer
# that has used all parts of its limit is refused after one question to each.
_EXHAUSTED_S = 0.15
# Owners whose round trips differ by less are equally near, in seconds.
_NEAR_S = 0.01
_MS_PER_S = 1000


@dataclass(frozen=True, kw_only=True, slots=True)
class Allowed:
    """The operation may run."""


@dataclass(frozen=True, kw_only=True, slots=True)
class LimitReached:
    """The customer has reached its limit.

    Parameters
    ----------
    retry_after_s
        Time until an operation is possible, in seconds.
    """

    retry_after_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class NoOwner:
    """No owner granted or refused the operation in time."""


Verdict = Allowed | LimitReached | NoOwner


@dataclass(kw_only=True, slots=True, eq=False)
class _Waiter:
    since: float
    decided: anyio.Event = field(default_factory=anyio.Event)
    verdict: Verdict | None = None

    def decide(self, verdict: Verdict) -> None:
        self.verdict = verdict
        self.decided.set()


@dataclass(kw_only=True, slots=True)
class _CustomerState:
    allowance: Allowance = field(default_factory=Allowance)
    waiting: list[_Waiter] = field(default_factory=list)
    is_asking: bool = False
    declined_until: dict[int, float] = field(default_factory=dict)


class LimitBorrower:
    """Decides for each operation of a customer whether it may run.

    Parameters
    ----------
    owner
        This proxy as an owner, which also knows the other owners.
    tolerance
        Tolerated excess over a limit.
    transport
        Calls the owners.
    tasks
        Runs the questions to owners.
    real_clock
        Time that also passes while the host is suspended, in seconds.
    """

    def __init__(
        self,
        *,
        owner: LimitOwner,
        tolerance: Tolerance,
        transport: LimitTransport,
        tasks: TaskStarter,
        real_clock: Callable[[], float],
    ) -> None:
        self._owner = owner
        self._tolerance = tolerance
        self._transport = transport
        self._tasks = tasks
        self._real_clock = real_clock
        self._links: dict[str, LimitLink] = {}
        self._states: dict[str, _CustomerState] = {}

    async def acquire(
        self, customer: Customer, limit: OperationLimit, patience_s: float
    ) -> Verdict:
        """Decide whether a customer may run one more operation.

        Parameters
        ----------
        patience_s
            Longest time to wait for an owner, in seconds.
        """
        state = self._states.setdefault(customer.name, _CustomerState())
        now = self._real_clock()
        state.allowance.count(now)
        if not state.waiting and state.allowance.use(now):
            return Allowed()
        waiter = _Waiter(since=now)
        state.waiting.append(waiter)
        if not state.is_asking:
            state.is_asking = True
            self._tasks.start_soon(self._serve_waiting, customer, limit, state)
        try:
            with anyio.move_on_after(patience_s):
                await waiter.decided.wait()
        finally:
            if waiter.verdict is None:
                state.waiting.remove(waiter)
        if waiter.verdict is not None:
            return waiter.verdict
        retry_after_s = state.allowance.retry_after_s(self._real_clock())
        if retry_after_s:
            return LimitReached(retry_after_s=retry_after_s)
        return NoOwner()

    async def _serve_waiting(
        self, customer: Customer, limit: OperationLimit, state: _CustomerState
    ) -> None:
        """Ask the owners until no operation of the customer waits."""
        lease_s = divide(limit, self._tolerance).lease_s
        try:
            while state.waiting:
                now = self._real_clock()
                if state.allowance.use(now):
                    state.waiting.pop(0).decide(Allowed())
                    continue
                slots = self._usable_slots(customer, state, now)
                slot = next(
                    (
                        one
                        for one in slots
                        if not state.allowance.is_exhausted(one.number, now)
                    ),
                    None,
                )
                if slot is not None:
                    await self._ask(slot, lease_s, state)
                    continue
                self._refuse_exhausted(state, slots, now)
                if state.waiting:
                    await anyio.sleep(_RETRY_PAUSE_S)
        finally:
            state.is_asking = False

    async def _ask(
        self, slot: SlotId, lease_s: float, state: _CustomerState
    ) -> None:
        owner = self._owner.proxies.owner(slot)
        if owner is None:
            return
        sent_at = self._real_clock()
        asked_for = len(state.waiting)
        question = LimitQuestion(
            customer=slot.customer,
            slot=slot.number,
            wanted=state.allowance.wanted(asked_for, lease_s, sent_at),
        )
        answer = await self._ask_owner(owner, question)
        if answer is None:
            return
        now = self._real_clock()
        if answer.granted == DECLINED:
            state.declined_until[slot.number] = now + 2 * _RETRY_PAUSE_S
        elif not answer.granted:
            retry_after_s = answer.retry_after_ms / _MS_PER_S
            state.allowance.record_exhausted(
                slot.number, now + max(_EXHAUSTED_S, retry_after_s)
            )
        if now >= sent_at + lease_s:
            # The granted operations have expired, for instance because this
            # host was suspended.
            return
        served = min(asked_for, answer.granted, len(state.waiting))
        for _ in range(served):
            state.waiting.pop(0).decide(Allowed())
        state.allowance.add(answer.granted - max(0, served), sent_at + lease_s)

    def _refuse_exhausted(
        self, state: _CustomerState, slots: list[SlotId], now: float
    ) -> None:
        """Refuse callers for whom no owner has an operation left.

        While an owner is missing, the others have less than the limit, and
        a customer below it would be refused. Its callers wait a moment then.
        """
        if not slots:
            return
        retry_after_s = state.allowance.retry_after_s(now)
        has_all = len(slots) == self._tolerance.owners
        before = now if has_all else now - _SHORT_WAIT_S
        refused = [one for one in state.waiting if one.since <= before]
        state.waiting = [one for one in state.waiting if one.since > before]
        for waiter in refused:
            waiter.decide(LimitReached(retry_after_s=retry_after_s))

    async def _ask_owner(
        self, owner: str, question: LimitQuestion
    ) -> LimitAnswer | None:
        if owner == self._owner.own_address:
            return self._owner.answer(question, owner)
        return await self._link(owner).ask(question)

    def _usable_slots(
        self, customer: Customer, state: _CustomerState, now: float
    ) -> list[SlotId]:
        """Return the slots whose owners can be asked, the nearest first."""
        proxies = self._owner.proxies
        ranked = []
        for number in range(self._tolerance.owners):
            slot = SlotId(customer=customer.name, number=number)
            owner = proxies.owner(slot)
            if owner is None or state.declined_until.get(number, now) > now:
                continue
            link = self._link(owner)
            if link.is_usable:
                distance = round(link.round_trip_s / _NEAR_S)
                ranked.append((distance, self._spread(slot), slot))
        return [slot for _, _, slot in sorted(ranked, key=lambda one: one[:2])]

    def _spread(self, slot: SlotId) -> int:
        """Return a number that divides the proxies among equal owners."""
        key = f'{self._owner.own_address} {slot.number}'
        return xxhash.xxh3_64_intdigest(key.encode())

    def _link(self, address: str) -> LimitLink:
        link = self._links.get(address)
        if link is None:
            link = LimitLink(
                address=address,
                own_address=self._owner.own_address,
                transport=self._transport,
                tasks=self._tasks,
                clock=self._real_clock,
            )
            self._links[address] = link
        return link
