"""Equal division of connections, the baseline for leased shares."""

from collections.abc import Callable, Mapping

from lavendergate.controllers.share_source import ShareSource
from lavendergate.core.types import HostId, UpstreamId
from lavendergate.rpc.messages import HeartbeatRequest, ShareGrant

LEASE_S = 3.0
# One connection of each member stays free for probes.
PROBE_CONNECTIONS = 1


class EqualShares(ShareSource):
    """Gives each live proxy the same number of connections to each member.

    Parameters
    ----------
    connection_limits
        Returns the connection limit of each announced member.
    """

    def __init__(
        self, *, connection_limits: Callable[[], Mapping[UpstreamId, int]]
    ) -> None:
        self._connection_limits = connection_limits
        self._seen_at: dict[HostId, float] = {}
        self._version = 0

    @property
    def version(self) -> int:
        """Number that increases when a proxy joins."""
        return self._version

    def heard(self, request: HeartbeatRequest, now: float) -> None:
        """Note that a proxy lives."""
        if request.host_id not in self._seen_at:
            self._version += 1
        self._seen_at[request.host_id] = now

    def grants(self, host_id: HostId, now: float) -> tuple[ShareGrant, ...]:
        """Return the grants of a proxy."""
        count = max(len(self._seen_at), 1)
        return tuple(
            ShareGrant(
                upstream_id=upstream_id,
                connections=(limit - PROBE_CONNECTIONS) // count,
                reserved=1,
                lease_s=LEASE_S,
            )
            for upstream_id, limit in self._connection_limits().items()
        )

    def is_freed(self, host_id: HostId) -> bool:
        """Never free a share, because no connection list is checked."""
        return False
