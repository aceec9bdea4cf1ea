"""Rows of the tables about groups, members, proxies and connections."""

from collections.abc import Iterator
from dataclasses import dataclass

from lavendergate.cli.tables import Row
from lavendergate.core.reports import GroupReport, MemberReport
from lavendergate.rpc.messages import ProxyStatus, StatusReply


@dataclass(frozen=True, kw_only=True, slots=True)
class StatusSummary:
    """Output of ``lavendergatectl status``.

    Parameters
    ----------
    problems
        What is wrong, where, since when, and what to do; one line per
        problem.
    """

    leader: str | None
    has_quorum: bool
    settings_version: int
    groups: int
    members: int
    proxies: int
    control_hosts: tuple[Row, ...]
    problems: tuple[str, ...]

    @property
    def is_healthy(self) -> bool:
        """Whether no problem was found."""
        return not self.problems


def summarise_status(status: StatusReply) -> StatusSummary:
    """Summarise the state of the system."""
    return StatusSummary(
        leader=status.leader,
        has_quorum=status.has_quorum,
        settings_version=status.settings.version,
        groups=len(status.groups),
        members=sum(len(group.members) for group in status.groups),
        proxies=len(status.proxies),
        control_hosts=tuple(control_rows(status)),
        problems=(*_control_problems(status), *status.problems),
    )


def control_rows(status: StatusReply) -> Iterator[Row]:
    """Return a row for each control host."""
    for host in status.control_hosts:
        yield {
            'control_host': host.host_id,
            'address': host.address,
            'role': host.role,
            'term': host.consensus_term,
            'commit_index': host.commit_index,
            'settings': host.settings_version,
        }


def group_rows(status: StatusReply) -> Iterator[Row]:
    """Return a row for each group."""
    for group in status.groups:
        ages = [
            report.announcement.status.applied_age_ms
            for report in group.members
        ]
        yield {
            'group': group.group_id,
            'term': group.term,
            'primary': group.primary,
            'members': f'{len(_announced_ids(group))}/{len(group.member_ids)}',
            'missing': tuple(sorted(group.member_ids - _announced_ids(group))),
            'greatest_lag_ms': max(ages, default=None),
        }


def member_rows(status: StatusReply, group_id: str = '') -> Iterator[Row]:
    """Return a row for each member that is announced or in the group.

    Parameters
    ----------
    group_id
        Group to show; all groups if empty.
    """
    for group in status.groups:
        if group_id not in {'', group.group_id}:
            continue
        for report in group.members:
            yield _member_row(group, report)
        for upstream in sorted(group.member_ids - _announced_ids(group)):
            yield {
                **dict.fromkeys(_MEMBER_COLUMNS),
                'group': group.group_id,
                'member': upstream,
                'state': 'missing',
            }


def proxy_rows(status: StatusReply) -> Iterator[Row]:
    """Return a row for each proxy."""
    for proxy in status.proxies:
        yield {
            'proxy': proxy.host_id,
            'address': proxy.address,
            'region': proxy.region,
            'failure_domain': proxy.failure_domain,
            'heartbeat_ms': proxy.age_ms,
            'settings': proxy.settings_version,
            'draining': proxy.draining,
            'connections': sum(
                demand.open_connections for demand in proxy.demands
            ),
        }


def connection_rows(status: StatusReply) -> Iterator[Row]:
    """Return a row for each proxy and each member that it connects to."""
    for proxy in status.proxies:
        yield from _connection_rows(proxy)


def removal_problem(
    status: StatusReply, group_id: str, upstream: str
) -> str | None:
    """Return why a member must not be removed from a group, or None."""
    for group in status.groups:
        if group.group_id != group_id:
            continue
        if group.primary == upstream:
            return (
                f'{upstream} is the primary of group {group_id}; run '
                f'"lavendergatectl switchover {group_id}" first'
            )
        if upstream in group.member_ids:
            return None
        names = ', '.join(sorted(group.member_ids))
        return f'{upstream} is not in group {group_id}; its members: {names}'
    return f'no group {group_id} is known; see "lavendergatectl groups"'


_MEMBER_COLUMNS = (
    'group',
    'member',
    'state',
    'role',
    'address',
    'region',
    'failure_domain',
    'position',
    'promised_term',
    'lag_ms',
    'age_ms',
    'connections',
)


def _member_row(group: GroupReport, report: MemberReport) -> Row:
    member = report.announcement
    status = member.status
    entry = status.last_entry
    is_group_member = member.upstream_id in group.member_ids
    return {
        'group': member.group_id,
        'member': member.upstream_id,
        'state': _membership_state(is_group_member, member.leaving),
        'role': status.role.value,
        'address': f'{member.host}:{member.port}',
        'region': member.region,
        'failure_domain': member.failure_domain,
        'position': f'{entry.term}/{entry.position}',
        'promised_term': status.promised_term,
        'lag_ms': status.applied_age_ms,
        'age_ms': report.age_ms,
        'connections': f'{status.connections}/{member.connection_limit}',
    }


def _membership_state(is_group_member: bool, is_leaving: bool) -> str:
    if is_leaving:
        return 'leaving'
    return 'member' if is_group_member else 'spare'


def _connection_rows(proxy: ProxyStatus) -> Iterator[Row]:
    demands = {demand.upstream_id: demand for demand in proxy.demands}
    shares = {share.upstream_id: share for share in proxy.shares}
    for upstream in sorted(demands.keys() | shares.keys()):
        demand = demands.get(upstream)
        share = shares.get(upstream)
        yield {
            'proxy': proxy.host_id,
            'member': upstream,
            'open': demand.open_connections if demand else 0,
            'wanted': demand.wanted_connections if demand else 0,
            'share': share.connections if share else 0,
            'reserved': share.reserved if share else 0,
            'lease_s': share.lease_s if share else None,
        }


def _announced_ids(group: GroupReport) -> frozenset[str]:
    return frozenset(
        report.announcement.upstream_id for report in group.members
    )


def _control_problems(status: StatusReply) -> Iterator[str]:
    if not status.has_quorum:
        yield (
            'control: no majority of the control hosts is reachable; '
            'statements continue, but there is no failover and no change of '
            'settings; start the missing control hosts'
        )
    elif status.leader is None:
        yield 'control: no leader is known; check again in a few seconds'
