"""Asks the replicas of a new term until enough of them follow it."""

from collections.abc import Awaitable, Callable, Container, Mapping
from dataclasses import dataclass, replace

import anyio

from lavendergate.controllers.waiters import Signal, TaskStarter
from lavendergate.core.fleet_directory import MemberEntry
from lavendergate.core.leases.evidence import PrimaryClaim
from lavendergate.core.promotions.write_hold import HoldEnd, WriteHold
from lavendergate.core.sessions.statements import MemberReport
from lavendergate.core.types import GroupId
from lavendergate.rpc.fleet_service import PrimaryNotice

# Longest time for which the first writes of a term wait by default, in
# seconds. Replicas that are rolled back report the term within 0.14 s.
DEFAULT_BOUND_S = 0.3
# Services whose replicas a host asks at the same time. After the loss of a
# failure domain, hundreds of services get a new primary in a moment.
_SERVICES_AT_A_TIME = 16


@dataclass(frozen=True, kw_only=True, slots=True)
class EndedHold:
    """A hold that has ended.

    Parameters
    ----------
    duration_s
        Time since this host heard of the term, in seconds.
    """

    service: GroupId
    hold: WriteHold
    end: HoldEnd
    duration_s: float


class TermFollowers:
    """Knows for each new term whether enough replicas follow it.

    Parameters
    ----------
    ask
        Returns the report of a member; None if it does not answer.
    members_of
        Returns the members of a service.
    synchronous_replicas
        Returns how many replicas confirm each commit of a service; None if
        this is not known yet.
    interval_s
        Returns the pause between two questions to a member, in seconds. No
        question is sent if it is longer than the bound.
    bound_s
        Longest duration of a hold, in seconds; 0 for no hold.
    clock
        Monotonic time, in seconds.
    on_end
        Called when a hold has ended.
    """

    def __init__(
        self,
        *,
        ask: Callable[[MemberEntry], Awaitable[MemberReport | None]],
        members_of: Callable[[GroupId], tuple[MemberEntry, ...]],
        synchronous_replicas: Callable[[GroupId], int | None],
        interval_s: Callable[[], float],
        bound_s: float,
        tasks: TaskStarter,
        clock: Callable[[], float],
        on_end: Callable[[EndedHold], None],
    ) -> None:
        self._ask = ask
        self._members_of = members_of
        self._synchronous_replicas = synchronous_replicas
        self._interval_s = interval_s
        self._bound_s = bound_s
        self._tasks = tasks
        self._clock = clock
        self._on_end = on_end
        self._holds: dict[GroupId, WriteHold] = {}
        self._asked: set[GroupId] = set()
        self._changed = Signal()

    def begin(self, notice: PrimaryNotice) -> None:
        """Hold the writes of a term that this host has just heard of."""
        service = notice.service
        if not self._bound_s or self._synchronous_replicas(service) == 0:
            return
        former = self._holds.get(service)
        if former is not None:
            self._finish(service, former, HoldEnd.replaced)
        now = self._clock()
        hold = WriteHold(
            claim=claim_of(notice), began_at=now, until=now + self._bound_s
        )
        self._holds[service] = hold
        self._tasks.start_soon(self._watch, service, hold.claim)

    def hold_of(self, service: GroupId) -> WriteHold | None:
        """Return the hold on a service; None if there is none."""
        return self._holds.get(service)

    def needed(self, service: GroupId) -> int:
        """Return how many replicas have to follow a term."""
        known = self._synchronous_replicas(service)
        return 1 if known is None else known

    def unfollowed(self) -> tuple[GroupId, ...]:
        """Return the services whose present term is new and not followed."""
        return tuple(self._holds)

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
        for service, hold in tuple(self._holds.items()):
            notice = primaries.get(service)
            is_same = notice is not None and claim_of(notice) == hold.claim
            if is_same and service not in unfollowed:
                self._replace(service, replace(hold, is_known_to_control=True))

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait until a hold has ended, at most `timeout_s` seconds."""
        await self._changed.wait(timeout_s)

    async def _watch(self, service: GroupId, claim: PrimaryClaim) -> None:
        """Ask the replicas until the hold ends."""
        if self._is_held(service, claim) and self._may_ask(service):
            self._asked.add(service)
            for member in self._members_of(service):
                if member.upstream_id != claim.upstream_id:
                    self._tasks.start_soon(
                        self._ask_repeatedly, member, service, claim
                    )
        while self._is_held(service, claim):
            hold = self._holds[service]
            remaining_s = hold.until - self._clock()
            if remaining_s > 0:
                await self._changed.wait(remaining_s)
            else:
                self._replace(service, hold)

    async def _ask_repeatedly(
        self, member: MemberEntry, service: GroupId, claim: PrimaryClaim
    ) -> None:
        while self._is_held(service, claim):
            report = await self._ask(member)
            hold = self._holds.get(service)
            if hold is None or hold.claim != claim:
                return
            if report is not None:
                self._replace(
                    service, hold.record_report(member.upstream_id, report)
                )
            await anyio.sleep(self._interval_s())

    def _may_ask(self, service: GroupId) -> bool:
        if self._interval_s() > self._bound_s:
            return False
        return len(self._asked) < _SERVICES_AT_A_TIME

    def _is_held(self, service: GroupId, claim: PrimaryClaim) -> bool:
        hold = self._holds.get(service)
        return hold is not None and hold.claim == claim

    def _replace(self, service: GroupId, hold: WriteHold) -> None:
        """Keep a changed hold, or end it."""
        end = hold.end(self._clock(), needed=self.needed(service))
        if end is None:
            self._holds[service] = hold
        else:
            self._finish(service, hold, end)

    def _finish(self, service: GroupId, hold: WriteHold, end: HoldEnd) -> None:
        self._holds.pop(service, None)
        self._asked.discard(service)
        self._on_end(
            EndedHold(
                service=service,
                hold=hold,
                end=end,
                duration_s=self._clock() - hold.began_at,
            )
        )
        self._changed.notify()


def claim_of(notice: PrimaryNotice) -> PrimaryClaim:
    """Return the claim that a notice makes."""
    return PrimaryClaim(upstream_id=notice.upstream_id, term=notice.term)
