"""Connections by which a proxy proves commits after its lease has ended."""

from collections.abc import Callable, Sequence

from lavendergate.controllers.fleet_view import FleetView
from lavendergate.controllers.session_pools import SessionPools
from lavendergate.controllers.waiters import TaskStarter
from lavendergate.core.types import GroupId

# Time limit of an attempt to connect, in seconds.
_CONNECT_TIMEOUT_S = 0.6
# Least pause between attempts to connect to members that have no connection of
# this host, in seconds.
_CONNECT_PAUSE_S = 1.0
# Services that are checked at each answer of the control leader. The homes of
# 2,400 members take a fifth of a second to choose, in which nothing else runs.
_SERVICES_AT_A_TIME = 40


class KeptConnections:
    """Keeps a connection to each replica of the leased services.

    Only connections that are older than the end of the last lease prove a
    commit after it, so they have to be opened while there is a lease.

    Parameters
    ----------
    view
        Members and primaries as known to the proxy.
    pools
        Opens the connections.
    monotonic
        Monotonic time, in seconds.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        pools: SessionPools,
        tasks: TaskStarter,
        monotonic: Callable[[], float],
    ) -> None:
        self._view = view
        self._pools = pools
        self._tasks = tasks
        self._monotonic = monotonic
        self._next_connect_at: dict[GroupId, float] = {}
        self._first = 0

    def open_missing(self, services: Sequence[GroupId]) -> None:
        """Connect to the replicas that this host has no connection to.

        Of many services, each call checks a part.

        Parameters
        ----------
        services
            The leased services.
        """
        count = min(len(services), _SERVICES_AT_A_TIME)
        for offset in range(count):
            self._open_missing_of(
                services[(self._first + offset) % len(services)]
            )
        self._first += count

    def _open_missing_of(self, service: GroupId) -> None:
        # Until the proxies are counted, a member may have fewer connections
        # than there are proxies.
        now = self._monotonic()
        if now < self._next_connect_at.get(service, 0):
            return
        if self._view.proxies is None or not self._has_confirmations(service):
            return
        claim = self._view.claim_of(service)
        for member in self._view.members_of(service):
            is_primary = claim is not None and (
                claim.upstream_id == member.upstream_id
            )
            if not is_primary and self._pools.lacks_connection(member):
                self._next_connect_at[service] = now + _CONNECT_PAUSE_S
                self._tasks.start_soon(
                    self._pools.connect, member, now + _CONNECT_TIMEOUT_S
                )

    def _has_confirmations(self, service: GroupId) -> bool:
        limits = self._view.routes.services.get(service)
        return limits is not None and limits.synchronous_replicas > 0
