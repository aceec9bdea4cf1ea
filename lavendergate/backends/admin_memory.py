"""Administrative access to in-memory members, for tests."""

from typing import TypeVar

import anyio
from result import Err, Ok, Result

from lavendergate.backends.admin import (
    AdminFailure,
    HostConnections,
    MemberAddress,
    MemberAdmin,
    StatusResult,
)
from lavendergate.backends.member_memory import MemoryMember
from lavendergate.core.types import HostId, LogPosition, Term

_CALL_TIMEOUT_S = 0.5
_REPLICATION_INTERVAL_S = 0.005
_ResultT = TypeVar('_ResultT')


class MemoryMemberAdmin(MemberAdmin):
    """Administers in-memory members.

    Parameters
    ----------
    members
        Members by address.
    delay_s
        Delay of each call, in seconds.
    """

    def __init__(
        self, *, members: dict[MemberAddress, MemoryMember], delay_s: float = 0
    ) -> None:
        self._members = members
        self._delay_s = delay_s
        self.lost_answers = 0

    async def status(self, address: MemberAddress) -> StatusResult:
        """Return the member's status."""
        member = await self._find_reachable(address)
        if member is None:
            return _unreachable()
        return self._answer_or_lose(Ok(member.status()))

    async def fence(self, address: MemberAddress, term: Term) -> StatusResult:
        """Raise the promised term."""
        member = await self._find_reachable(address)
        if member is None:
            return _unreachable()
        if not member.fence(term):
            return _refused()
        return self._answer_or_lose(Ok(member.status()))

    async def promote(self, address: MemberAddress, term: Term) -> StatusResult:
        """Make the member primary in the term that it promised."""
        member = await self._find_reachable(address)
        if member is None:
            return _unreachable()
        if not member.promote(term):
            return _refused()
        return self._answer_or_lose(Ok(member.status()))

    async def follow(
        self, address: MemberAddress, term: Term, primary: MemberAddress
    ) -> Result[int, AdminFailure]:
        """Make the member a replica; return the number of truncated entries."""
        member = await self._find_reachable(address)
        source = self._members.get(primary)
        if member is None or source is None:
            return _unreachable()
        truncated = member.follow(term, source)
        if truncated is None:
            return _refused()
        return self._answer_or_lose(Ok(truncated))

    async def wait(
        self, address: MemberAddress, entry: LogPosition, timeout_s: float
    ) -> Result[bool, AdminFailure]:
        """Wait until the member holds an entry; return whether it does."""
        member = await self._find_reachable(address)
        if member is None:
            return _unreachable()
        with anyio.move_on_after(timeout_s):
            while not member.holds(entry):
                await anyio.sleep(_REPLICATION_INTERVAL_S)
                member.replicate()
        return self._answer_or_lose(Ok(member.holds(entry)))

    async def connections_by_host(
        self, address: MemberAddress
    ) -> Result[HostConnections, AdminFailure]:
        """Return the ids of the open connections of each proxy."""
        member = await self._find_reachable(address)
        if member is None:
            return _unreachable()
        connections: HostConnections = {}
        for connection_id, name in member.connections.items():
            host_id = HostId(name)
            connections[host_id] = (
                *connections.get(host_id, ()),
                connection_id,
            )
        return self._answer_or_lose(Ok(connections))

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
        member = await self._find_reachable(address)
        if member is None:
            return _unreachable()
        connections = [
            connection_id
            for connection_id, name in member.connections.items()
            if name == host_id and (only is None or connection_id in only)
        ]
        for connection_id in connections:
            member.connections.pop(connection_id)
        return self._answer_or_lose(Ok(len(connections)))

    async def _find_reachable(
        self, address: MemberAddress
    ) -> MemoryMember | None:
        member = self._members.get(address)
        if member is None or not member.is_reachable:
            await anyio.sleep(_CALL_TIMEOUT_S)
            return None
        await anyio.sleep(self._delay_s)
        return member

    def _answer_or_lose(
        self, answer: Result[_ResultT, AdminFailure]
    ) -> Result[_ResultT, AdminFailure]:
        if self.lost_answers:
            self.lost_answers -= 1
            return Err(AdminFailure(message='no answer in time'))
        return answer


def _unreachable() -> Err[AdminFailure]:
    return Err(AdminFailure(message='no answer in time'))


def _refused() -> Err[AdminFailure]:
    return Err(AdminFailure(message='error 1644', refused=True))
