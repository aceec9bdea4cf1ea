"""The primary's side of replication."""

import asyncio

from lavendergate.core.types import MemberRole
from standin.faults import Faults
from standin.group import GroupMember
from standin.replication import (
    Entries,
    FollowAccepted,
    FollowRefused,
    FollowRequest,
    Ping,
    Pong,
    ReplicationStream,
)

_BATCH_ENTRIES = 500


class ReplicationServer:
    """Sends the log of this member, as primary of a term, to its replicas.

    A fenced primary still serves its replicas, until it becomes a replica.

    Parameters
    ----------
    group_id
        Group of this member.
    member
        State of this member.
    faults
        Faults that the administrator has set.
    """

    def __init__(
        self, *, group_id: str, member: GroupMember, faults: Faults
    ) -> None:
        self._group_id = group_id
        self._member = member
        self._faults = faults

    async def serve(self, stream: ReplicationStream) -> None:
        """Serve one replica until it disconnects or the term is over.

        The term is over once this member follows another primary or is
        promoted again. A replication fault also ends the connection.
        """
        request = await stream.receive()
        if not isinstance(request, FollowRequest):
            return
        problem = self._refusal_reason(request)
        if problem is not None:
            await stream.send(FollowRefused(problem=problem))
            return
        log = self._member.log
        matched = log.match(request.runs, request.last_position)
        await stream.send(FollowAccepted(matched_position=matched))
        tasks = [
            asyncio.create_task(self._answer_pings(stream)),
            asyncio.create_task(
                self._send_entries(stream, matched, request.term)
            ),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _refusal_reason(self, request: FollowRequest) -> str | None:
        if self._faults.is_replication_cut:
            return 'replication is cut off by a fault'
        if request.group_id != self._group_id:
            return f'this member belongs to group {self._group_id}'
        if not self._serves_term(request.term):
            return f'this member is not the primary of term {request.term}'
        return None

    def _serves_term(self, term: int) -> bool:
        return (
            self._member.served_term == term
            and self._member.role is not MemberRole.replica
            and not self._faults.is_replication_cut
        )

    async def _answer_pings(self, stream: ReplicationStream) -> None:
        while True:
            message = await stream.receive()
            if isinstance(message, Ping):
                position = self._member.log.last_position
                await stream.send(
                    Pong(sent_at=message.sent_at, last_position=position)
                )

    async def _send_entries(
        self, stream: ReplicationStream, sent: int, term: int
    ) -> None:
        while self._serves_term(term):
            entries = self._member.log.after(sent, _BATCH_ENTRIES)
            if entries:
                await stream.send(Entries(entries=tuple(entries)))
                sent += len(entries)
            else:
                await self._member.wait_for_change()
