"""Port to the division of connections, as heartbeats use it."""

from abc import ABC, abstractmethod

from lavendergate.core.reports import Announcement
from lavendergate.core.types import HostId
from lavendergate.rpc.messages import HeartbeatRequest, ShareGrant


class ShareSource(ABC):
    """Grants connections to proxies."""

    @property
    @abstractmethod
    def version(self) -> int:
        """Number that increases when grants change."""

    @abstractmethod
    def announced(self, announcement: Announcement, now: float) -> None:
        """Learn the limits and the address of a member."""

    @abstractmethod
    def heard(self, request: HeartbeatRequest, now: float) -> None:
        """Enter the demands of a proxy and renew its leases."""

    @abstractmethod
    def grants(self, host_id: HostId, now: float) -> tuple[ShareGrant, ...]:
        """Return the present grants of a proxy."""

    @abstractmethod
    def is_freed(self, host_id: HostId) -> bool:
        """Whether a proxy is known to hold no connection any more."""


class NoShares(ShareSource):
    """Grants nothing; for deployments of the control role in tests."""

    @property
    def version(self) -> int:
        """No grant ever changes."""
        return 0

    def announced(self, announcement: Announcement, now: float) -> None:
        """Ignore the limits."""

    def heard(self, request: HeartbeatRequest, now: float) -> None:
        """Ignore the demands."""

    def grants(self, host_id: HostId, now: float) -> tuple[ShareGrant, ...]:
        """Return no grants."""
        return ()

    def is_freed(self, host_id: HostId) -> bool:
        """Return whether the proxy holds nothing, which is always so."""
        return True
