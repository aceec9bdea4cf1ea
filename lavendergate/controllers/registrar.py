"""Registration of members and hosts in the replicated log."""

from collections.abc import Iterable

from lavendergate.controllers.group_settings import failover_settings
from lavendergate.controllers.log_port import LogPort, LogState
from lavendergate.controllers.observer import Observer
from lavendergate.controllers.share_source import ShareSource
from lavendergate.core.commands import (
    Command,
    RegisterHost,
    RegisterMember,
    RemoveHost,
)
from lavendergate.core.directory import HOST_LEASE_S
from lavendergate.core.membership import members_to_register
from lavendergate.core.records import HostRecord


class Registrar:
    """Proposes the registration and removal of members and hosts.

    Parameters
    ----------
    log
        The replicated log.
    shares
        Division of connections. A host that is gone is removed only after
        its connections have been freed.
    """

    def __init__(self, *, log: LogPort, shares: ShareSource) -> None:
        self._log = log
        self._shares = shares

    async def register(self, observer: Observer, now: float) -> None:
        """Propose the changes that are missing in the log.

        Stops at the first proposal that is not accepted; the next call
        proposes it again.
        """
        for command in self._missing_commands(observer, now):
            answer = await self._log.propose(command)
            if not answer.accepted:
                return

    def _missing_commands(
        self, observer: Observer, now: float
    ) -> Iterable[Command]:
        state = self._log.state
        yield from _member_commands(observer, state)
        for entry in observer.directory.hosts.values():
            known = state.hosts.get(entry.host.host_id)
            if known is None and not entry.is_drained:
                yield _register_host(entry.host)
        # A leader that is isolated or has just been elected cannot know which
        # hosts are gone until it has received heartbeats for a lease time.
        directory = observer.directory
        connected_s = now - directory.resumed_at
        if directory.is_isolated(now) or connected_s < HOST_LEASE_S:
            return
        for host in state.hosts.values():
            if self._is_gone(observer, host):
                yield RemoveHost(
                    host_id=host.host_id, incarnation=host.incarnation
                )

    def _is_gone(self, observer: Observer, host: HostRecord) -> bool:
        entry = observer.directory.hosts.get(host.host_id)
        is_present = (
            entry is not None
            and not entry.is_drained
            and entry.host.incarnation == host.incarnation
        )
        return not is_present and self._shares.is_freed(host.host_id)


def _member_commands(
    observer: Observer, state: LogState
) -> Iterable[RegisterMember]:
    group_ids = {
        entry.announcement.group_id
        for entry in observer.directory.members.values()
    }
    limits = {
        group_id: failover_settings(
            state.settings, observer.region_of(group_id), group_id
        ).members
        for group_id in group_ids
    }
    for announcement in members_to_register(
        observer.directory, state.groups, limits
    ):
        yield RegisterMember(
            group_id=announcement.group_id,
            upstream_id=announcement.upstream_id,
        )


def _register_host(host: HostRecord) -> RegisterHost:
    return RegisterHost(
        host_id=host.host_id,
        incarnation=host.incarnation,
        region=host.region,
        failure_domain=host.failure_domain,
        address=host.address,
    )
