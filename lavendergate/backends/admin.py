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
    """A call that failed or whose answer was lost.

    Parameters
    ----------
    refused
        Whether the member answered with error 1644, so that the call had no
        effect. Otherwise the call may have had its effect.
    """

    message: str
    refused: bool = False


StatusResult = Result[MemberStatus, AdminFailure]
HostConnections = dict[HostId, tuple[int, ...]]


class MemberAdmin(ABC):
    """Calls with the administrator's account.

    Each call ends within 500 ms, apart from `wait`, which may take its own
    timeout longer.
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
        """Make the member a replica; return the number of dropped entries."""

    @abstractmethod
    async def wait(
        self, address: MemberAddress, entry: LogPosition, timeout_s: float
    ) -> Result[bool, AdminFailure]:
        """Wait until the member holds an entry; return whether it does."""

    @abstractmethod
    async def connections_by_host(
        self, address: MemberAddress
    ) -> Result[HostConnections, AdminFailure]:
        """Return the ids of the connections that each proxy holds.

        A proxy names itself in the connection attribute ``program_name`` as
        ``lavendergate/<host id>``.
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
            Connections to close; all of the proxy's if None. Numbers that
            belong to someone else by now are left alone.
        """
