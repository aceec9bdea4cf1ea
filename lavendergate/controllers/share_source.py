"""Interface through which heartbeats obtain connection shares."""

from abc import ABC, abstractmethod

from lavendergate.core.reports import Announcement
from lavendergate.core.types import HostId
from lavendergate.rpc.messages import HeartbeatRequest, ShareGrant


class ShareSource(ABC):
    """Grants connections to proxies."""

    @property
    @abstractmethod
    def version(self) -> int:
        """Number that increases whenever grants change."""

    @abstractmethod
    def record_announcement(
        self, announcement: Announcement, now: float
    ) -> None:
        """Record the limits and the address of a member."""

    @abstractmethod
    def record_heartbeat(self, request: HeartbeatRequest, now: float) -> None:
        """Record the demands of a proxy and renew its leases."""

    @abstractmethod
    def grants(self, host_id: HostId, now: float) -> tuple[ShareGrant, ...]:
        """Return the current grants of a proxy."""

    @abstractmethod
    def is_freed(self, host_id: HostId) -> bool:
        """Whether a proxy is known to have no connection left."""


class NoShares(ShareSource):
    """Grants no connections; for tests of the control role."""

    @property
    def version(self) -> int:
        """Always 0, because no grant ever changes."""
        return 0

    def record_announcement(
        self, announcement: Announcement, now: float
    ) -> None:
        """Ignore the limits."""

    def record_heartbeat(self, request: HeartbeatRequest, now: float) -> None:
        """Ignore the demands."""

    def grants(self, host_id: HostId, now: float) -> tuple[ShareGrant, ...]:
        """Return no grants."""
        return ()

    def is_freed(self, host_id: HostId) -> bool:
        """Return True, because no proxy is ever granted a connection."""
        return True
