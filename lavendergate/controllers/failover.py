"""Runs the failover of each group on the leader and performs its effects."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from typing import Any

import anyio
from anyio.abc import TaskGroup

from lavendergate.backends.admin import MemberAddress, MemberAdmin
from lavendergate.controllers.log_port import LogPort
from lavendergate.controllers.membership import MembershipController
from lavendergate.core.commands import BeginTerm, ConfirmPrimary
from lavendergate.core.failover import step
from lavendergate.core.failover_types import (
    ConfirmAnswered,
    Effect,
    Event,
    FenceAnswered,
    FenceMember,
    FollowAnswered,
    FollowPrimary,
    GroupFailover,
    PromoteAnswered,
    PromoteMember,
    ProposeBeginTerm,
    ProposeConfirmPrimary,
    QueryStatus,
    Report,
    ReportKind,
    StatusAnswered,
    SwitchoverRequested,
    TermAnswered,
    WaitAnswered,
    WaitMember,
)
from lavendergate.core.types import GroupId, UpstreamId

ReportSink = Callable[[GroupId, Report], None]

TICK_S = 0.05

# Covers catching up of the target while the old primary still accepts writes
# (at most 5 s), catching up after that, fencing and promotion.
SWITCHOVER_TIMEOUT_S = 10.0

_SWITCHOVER_END = frozenset(
    (
        ReportKind.switchover_done,
        ReportKind.switchover_failed,
        ReportKind.primary_confirmed,
    )
)


@dataclass(kw_only=True, slots=True)
class _SwitchoverWaiter:
    """A caller that waits for a switchover to end.

    Parameters
    ----------
    done
        Set when the switchover has ended.
    report
        Last report of the switchover, if it has ended.
    """

    done: anyio.Event = field(default_factory=anyio.Event)
    report: Report | None = None


class FailoverController:
    """Runs the failover of all groups while this host leads.

    Parameters
    ----------
    log
        The replicated log.
    membership
        Provides the observations of members and watchers.
    admin
        Administrative access to members.
    report
        Receives reports, for the event log.
    tick_s
        Maximum interval between two observations, in seconds.
    """

    def __init__(
        self,
        *,
        log: LogPort,
        membership: MembershipController,
        admin: MemberAdmin,
        report: ReportSink,
        tick_s: float = TICK_S,
    ) -> None:
        self._log = log
        self._membership = membership
        self._admin = admin
        self._report = report
        self._tick_s = tick_s
        self._states: dict[GroupId, GroupFailover] = {}
        self._addresses: dict[UpstreamId, MemberAddress] = {}
        self._waiters: dict[GroupId, _SwitchoverWaiter] = {}
        self._tasks: TaskGroup | None = None

    async def run(self) -> None:
        """Run the failover whenever this host leads, until cancelled."""
        while True:
            if self._log.is_leader:
                await self._lead(self._log.epoch)
            with anyio.move_on_after(self._tick_s):
                await self._log.wait_for_change()

    async def switch_over(
        self, group_id: GroupId, target: UpstreamId | None
    ) -> Report | None:
        """Move the primary of a group to another member.

        Parameters
        ----------
        target
            Member to promote; None for any replica.

        Returns
        -------
        Report or None
            Why the switchover failed, with the remedy; None if it succeeded.
        """
        if self._tasks is None or group_id not in self._states:
            return _switchover_failure(
                f'group {group_id} is not known to this host yet; check the '
                'name, or try again'
            )
        if group_id in self._waiters:
            return _switchover_failure(
                f'another switchover of group {group_id} is running; retry '
                'when it has ended'
            )
        waiter = _SwitchoverWaiter()
        self._waiters[group_id] = waiter
        try:
            with anyio.move_on_after(SWITCHOVER_TIMEOUT_S):
                self._step(group_id, SwitchoverRequested(target=target))
                await waiter.done.wait()
        finally:
            self._waiters.pop(group_id)
        return _switchover_problem(waiter.report, target)

    async def _lead(self, epoch: int) -> None:
        """Run the failover of all groups until the epoch ends."""
        self._states = {}
        try:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                await self._observe_while_leading(epoch)
                tasks.cancel_scope.cancel()
        finally:
            self._tasks = None

    async def _observe_while_leading(self, epoch: int) -> None:
        while self._log.is_leader and self._log.epoch == epoch:
            self._observe_all()
            with anyio.move_on_after(self._tick_s):
                await self._log.wait_for_change()

    def _observe_all(self) -> None:
        now = anyio.current_time()
        is_ready = self._membership.observer.knows_all_members(
            self._log.state, now
        )
        if not (self._log.has_quorum and is_ready):
            return
        for group_id in self._log.state.groups:
            self._observe(group_id, now)

    def _observe(self, group_id: GroupId, now: float) -> None:
        state = self._log.state
        record = state.groups.get(group_id)
        if record is None:
            return
        observed = self._membership.observer.observe_with_suspicion(
            state, record, now
        )
        for upstream_id, view in observed.members.items():
            self._addresses[upstream_id] = MemberAddress(
                host=view.host, port=view.port
            )
        self._step(group_id, observed)

    def _handle_answer(self, group_id: GroupId, event: Event) -> None:
        """Handle an answer, based on the current committed state.

        The state is observed first, because it may have changed since the
        effect was started.
        """
        self._observe(group_id, anyio.current_time())
        self._step(group_id, event)

    def _step(self, group_id: GroupId, event: Event) -> None:
        state = self._states.get(group_id, GroupFailover(group_id=group_id))
        state, effects = step(state, event, anyio.current_time())
        self._states[group_id] = state
        for effect in effects:
            if isinstance(effect, Report):
                self._publish_report(group_id, effect)
            elif self._tasks is not None:
                self._tasks.start_soon(self._execute_effect, group_id, effect)

    def _publish_report(self, group_id: GroupId, report: Report) -> None:
        self._report(group_id, report)
        waiter = self._waiters.get(group_id)
        if waiter is not None and report.kind in _SWITCHOVER_END:
            waiter.report = report
            waiter.done.set()

    async def _execute_effect(self, group_id: GroupId, effect: Effect) -> None:
        handler: Callable[[FailoverController, GroupId, Any], Awaitable[Event]]
        handler = _HANDLERS[type(effect)]
        self._handle_answer(group_id, await handler(self, group_id, effect))

    async def _begin_term(
        self, group_id: GroupId, effect: ProposeBeginTerm
    ) -> Event:
        answer = await self._log.propose(
            BeginTerm(group_id=group_id, term=effect.term, reason=effect.reason)
        )
        return TermAnswered(term=effect.term, accepted=answer.accepted)

    async def _confirm(
        self, group_id: GroupId, effect: ProposeConfirmPrimary
    ) -> Event:
        answer = await self._log.propose(
            ConfirmPrimary(
                group_id=group_id,
                term=effect.term,
                upstream_id=effect.upstream_id,
                first_position=effect.first_position,
            )
        )
        return ConfirmAnswered(term=effect.term, accepted=answer.accepted)

    async def _fence(self, group_id: GroupId, effect: FenceMember) -> Event:
        address = self._addresses.get(effect.upstream_id)
        if address is None:
            return FenceAnswered(
                upstream_id=effect.upstream_id, term=effect.term, status=None
            )
        answer = await self._admin.fence(address, effect.term)
        return FenceAnswered(
            upstream_id=effect.upstream_id,
            term=effect.term,
            status=answer.ok(),
            refused=answer.is_err() and answer.unwrap_err().refused,
        )

    async def _query(self, group_id: GroupId, effect: QueryStatus) -> Event:
        address = self._addresses.get(effect.upstream_id)
        status = None
        if address is not None:
            status = (await self._admin.status(address)).ok()
        return StatusAnswered(
            upstream_id=effect.upstream_id, term=effect.term, status=status
        )

    async def _wait(self, group_id: GroupId, effect: WaitMember) -> Event:
        address = self._addresses.get(effect.upstream_id)
        has_entry = False
        if address is not None:
            answer = await self._admin.wait(
                address, effect.entry, effect.timeout_s
            )
            has_entry = answer.unwrap_or(False)
        return WaitAnswered(
            upstream_id=effect.upstream_id,
            term=effect.term,
            has_entry=has_entry,
        )

    async def _promote(self, group_id: GroupId, effect: PromoteMember) -> Event:
        address = self._addresses.get(effect.upstream_id)
        status = None
        if address is not None:
            answer = await self._admin.promote(address, effect.term)
            status = answer.ok()
        return PromoteAnswered(
            upstream_id=effect.upstream_id, term=effect.term, status=status
        )

    async def _follow(self, group_id: GroupId, effect: FollowPrimary) -> Event:
        address = self._addresses.get(effect.upstream_id)
        primary = self._addresses.get(effect.primary)
        truncated = None
        if address is not None and primary is not None:
            answer = await self._admin.follow(address, effect.term, primary)
            truncated = answer.ok()
        return FollowAnswered(
            upstream_id=effect.upstream_id,
            term=effect.term,
            truncated_entries=truncated,
        )


_HANDLERS: dict[type, Callable[..., Awaitable[Event]]] = {
    ProposeBeginTerm: FailoverController._begin_term,
    ProposeConfirmPrimary: FailoverController._confirm,
    FenceMember: FailoverController._fence,
    QueryStatus: FailoverController._query,
    WaitMember: FailoverController._wait,
    PromoteMember: FailoverController._promote,
    FollowPrimary: FailoverController._follow,
}


def _switchover_problem(
    report: Report | None, target: UpstreamId | None
) -> Report | None:
    if report is None:
        return _switchover_failure(
            f'the switchover did not end within {SWITCHOVER_TIMEOUT_S:.0f} s; '
            'check the group status'
        )
    if report.kind is ReportKind.switchover_done:
        return None
    wanted = 'another replica' if target is None else target
    return replace(
        report, message=f'switchover to {wanted} failed: {report.message}'
    )


def _switchover_failure(message: str) -> Report:
    return Report(kind=ReportKind.switchover_failed, message=message)
