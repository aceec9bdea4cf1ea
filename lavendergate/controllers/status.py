"""Serves the system status, and switchovers requested by operators."""

import anyio

from lavendergate.controllers.failover import FailoverController
from lavendergate.controllers.log_port import LogPort
from lavendergate.controllers.membership import MembershipController
from lavendergate.controllers.observer import ProxyEntry
from lavendergate.controllers.share_source import ShareSource
from lavendergate.core.directory import ANNOUNCEMENT_EXPIRY_S
from lavendergate.core.membership import spare_upstreams
from lavendergate.core.records import GroupRecord
from lavendergate.rpc.messages import (
    ProxyStatus,
    StatusReply,
    StatusRequest,
    SwitchoverReply,
    SwitchoverRequest,
)

_MS_PER_S = 1000


class StatusController:
    """Answers ``Status`` and ``Switchover``."""

    def __init__(
        self,
        *,
        log: LogPort,
        membership: MembershipController,
        failover: FailoverController,
        shares: ShareSource,
    ) -> None:
        self._log = log
        self._membership = membership
        self._failover = failover
        self._shares = shares

    async def status(self, request: StatusRequest) -> StatusReply:
        """Answer ``Status``; a non-leader reports its own applied state."""
        now = anyio.current_time()
        state = self._log.state
        observer = self._membership.observer
        return StatusReply(
            leader=self._log.leader_address,
            has_quorum=self._log.has_quorum,
            commit_index=state.index,
            settings=state.settings,
            groups=observer.reports(state, now),
            proxies=tuple(
                self._proxy_status(entry, now)
                for entry in observer.proxies.values()
            ),
            control_hosts=self._log.control_hosts,
            problems=tuple(self._problems(now)),
        )

    async def switchover(self, request: SwitchoverRequest) -> SwitchoverReply:
        """Answer ``Switchover`` once it has succeeded or failed."""
        leader = self._log.leader_address
        if not self._log.is_leader:
            return SwitchoverReply(
                accepted=False,
                problem='this host is not the leader; ask the leader',
                leader=leader,
            )
        record = self._log.state.groups.get(request.group_id)
        if request.former is not None and record is not None:
            if _has_moved(record, request):
                return SwitchoverReply(accepted=True, leader=leader)
        failure = await self._failover.switch_over(
            request.group_id, request.target
        )
        if failure is None:
            return SwitchoverReply(accepted=True, leader=leader)
        return SwitchoverReply(
            accepted=False,
            problem=failure.message,
            leader=leader,
            interrupted=failure.interrupted,
        )

    def _proxy_status(self, entry: ProxyEntry, now: float) -> ProxyStatus:
        request = entry.request
        return ProxyStatus(
            host_id=request.host_id,
            address=request.address,
            region=request.region,
            failure_domain=request.failure_domain,
            age_ms=int((now - entry.seen_at) * _MS_PER_S),
            settings_version=request.settings_version,
            draining=request.draining,
            demands=request.demands,
            shares=self._shares.grants(request.host_id, now),
        )

    def _problems(self, now: float) -> list[str]:
        if not self._log.is_leader:
            return ['this host is not the leader; ask the leader for members']
        state = self._log.state
        directory = self._membership.observer.directory
        problems = self._membership.problems(now)
        if not self._log.has_quorum:
            problems.append(
                'no majority of control hosts is reachable: statements '
                'continue, but no promotion or settings change is possible; '
                'start the missing control hosts'
            )
        if directory.is_isolated(now):
            problems.append(
                'this host receives no announcement or heartbeat, so it '
                'removes no host or member; check its network'
            )
        # The directory keeps the entry of a primary that does not announce
        # itself while proxies still reach it.
        announcing = {
            upstream_id
            for upstream_id, entry in directory.members.items()
            if now - entry.seen_at < ANNOUNCEMENT_EXPIRY_S
        }
        for record in state.groups.values():
            if record.is_promoting or record.primary is None:
                problems.append(
                    f'group {record.group_id}: no primary is confirmed in '
                    f'term {record.begun_term}; check that a majority of its '
                    f'members is reachable'
                )
            for missing in sorted(record.member_ids - announcing):
                problems.append(
                    f'group {record.group_id}: member {missing} does not '
                    f'announce itself; start it or remove it'
                )
        for spare in spare_upstreams(directory, state.groups):
            problems.append(
                f'group {spare.group_id}: upstream {spare.upstream_id} is a '
                f'spare, because the group has as many members as the '
                f'setting group.members allows; remove a member to use it'
            )
        return problems


def _has_moved(record: GroupRecord, request: SwitchoverRequest) -> bool:
    """Return whether an interrupted switchover has been completed."""
    if record.is_promoting or record.primary in {None, request.former}:
        return False
    return request.target in {None, record.primary}
