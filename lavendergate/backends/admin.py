"""Administrative access to members."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from result import Result

from lavendergate.core.types import HostId, LogPosition, MemberStatus, Term

PROGRAM_NAME_PREFIX = 'lavendergate/'


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberAddress:
    """IP address and TCP port of a member."""

    host: str
    port: int


@dataclass(frozen=True, kw_only=True, slots=True)
class AdminFailure:
    """A failed administrative call, or one whose answer was lost.

    Parameters
    ----------
    refused
        Whether the member answered with error 1644, so that the call had no
        effect. Otherwise the call may have taken effect.
    """

    message: str
    refused: bool = False


StatusResult = Result[MemberStatus, AdminFailure]
HostConnections = dict[HostId, tuple[int, ...]]


class MemberAdmin(ABC):
    """Administrative calls to members.

    Each statement on a member ends within 500 ms. `kill_connections` runs
    one statement to list the connections and one for each connection that it
    closes. `wait` may take longer by the timeout that it is given.
    """

    @abstractmethod
    async def status(self, address: MemberAddress) -> StatusResult:
        """Return the member's status."""

    @abstractmethod
    async def fence(self, address: MemberAddress, term: Term) -> StatusResult:
        """Raise the promised term."""

    @abstractmethod
    async def promote(self, address: MemberAddress, term: Term) -> StatusResult:
        """Make the member primary in the term that it promised."""

    @abstractmethod
    async def follow(
        self, address: MemberAddress, term: Term, primary: MemberAddress
    ) -> Result[int, AdminFailure]:
        """Make the member a replica; return the number of truncated entries."""

    @abstractmethod
    async def wait(
        self, address: MemberAddress, entry: LogPosition, timeout_s: float
    ) -> Result[bool, AdminFailure]:
        """Wait until the member holds an entry; return whether it does."""

    @abstractmethod
    async def connections_by_host(
        self, address: MemberAddress
    ) -> Result[HostConnections, AdminFailure]:
        """Return the ids of the open connections of each proxy.

        A proxy identifies itself in the connection attribute
        ``program_name`` as ``lavendergate/<host id>``.
        """

    @abstractmethod
    async def kill_connections(
        self,
        address: MemberAddress,
        host_id: HostId,
        only: frozenset[int] | None = None,
    ) -> Result[int, AdminFailure]:
        """Close a proxy's connections; return how many were found.

        Parameters
        ----------
        only
            Ids of the connections to close; None for all of the proxy's.
            Ids that now belong to other clients are ignored.
        """
