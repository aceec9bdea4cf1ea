"""The replica's side of replication."""

import asyncio
import os
import time
import traceback
from collections import deque
from dataclasses import dataclass

from standin.errors import MemberError
from standin.faults import Faults
from standin.group import GroupMember
from standin.log import Entry
from standin.replication import (
    Entries,
    FollowAccepted,
    FollowRefused,
    FollowRequest,
    Ping,
    Pong,
    ReplicationStream,
    open_stream,
)

_CONNECT_TIMEOUT_S = 1.0
_PING_INTERVAL_S = 0.05
# A stream on which nothing arrives for this time is closed and reopened.
_RECEIVE_TIMEOUT_S = 1.0
_RETRY_INTERVAL_S = 0.05
_EXIT_INCONSISTENT = 70


@dataclass(frozen=True, kw_only=True, slots=True)
class PrimaryAddress:
    """Address and term of the primary that a replica follows."""

    term: int
    host: str
    port: int


@dataclass(frozen=True, kw_only=True, slots=True)
class _MatchedStream:
    stream: ReplicationStream
    matched_position: int


class ReplicationClient:
    """Receives entries from the primary and applies them after a delay.

    Parameters
    ----------
    upstream_id, group_id
        Identity of this member.
    member
        State that receives the entries.
    faults
        Faults that the administrator has set.
    """

    def __init__(
        self,
        *,
        upstream_id: str,
        group_id: str,
        member: GroupMember,
        faults: Faults,
    ) -> None:
        self._upstream_id = upstream_id
        self._group_id = group_id
        self._member = member
        self._faults = faults
        self._task: asyncio.Task[None] | None = None
        member.stop_replication = self.stop

    async def follow(self, primary: PrimaryAddress) -> int:
        """Follow a primary and return the number of truncated entries.

        Raises
        ------
        MemberError
            With number 1644 if the term is refused or the primary does not
            serve this member. The member's state is unchanged then.
        """
        self._member.check_follow(primary.term)
        try:
            connection = await self._connect(primary)
        except (OSError, EOFError) as error:
            raise MemberError(
                1644,
                f'no replication from {primary.host}:{primary.port}: '
                f'{error or type(error).__name__}; call group_follow again',
            ) from error
        try:
            truncated = self._member.follow(
                primary.term, connection.matched_position
            )
        except BaseException:
            connection.stream.close()
            raise
        self._task = asyncio.create_task(
            self._replicate(primary, connection.stream, self._member.epoch)
        )
        self._task.add_done_callback(_exit_on_failure)
        return truncated

    def stop(self) -> None:
        """Stop replication; entries that are not yet due are dropped."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    async def _connect(self, primary: PrimaryAddress) -> _MatchedStream:
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            return await self._handshake(primary)

    async def _handshake(self, primary: PrimaryAddress) -> _MatchedStream:
        if self._faults.is_replication_cut:
            raise OSError('replication is cut off by a fault')
        stream = await open_stream(primary.host, primary.port)
        try:
            return await self._request_entries(stream, primary)
        except BaseException:
            stream.close()
            raise

    async def _request_entries(
        self, stream: ReplicationStream, primary: PrimaryAddress
    ) -> _MatchedStream:
        log = self._member.log
        await stream.send(
            FollowRequest(
                group_id=self._group_id,
                upstream_id=self._upstream_id,
                term=primary.term,
                last_position=log.last_position,
                runs=log.runs,
            )
        )
        match await stream.receive():
            case FollowAccepted(matched_position):
                return _MatchedStream(
                    stream=stream, matched_position=matched_position
                )
            case FollowRefused(problem):
                raise OSError(problem)
            case message:
                raise OSError(f'unexpected message {message!r}')

    async def _replicate(
        self, primary: PrimaryAddress, stream: ReplicationStream, epoch: int
    ) -> None:
        """Replicate, and reconnect on errors, until the role changes."""
        current: ReplicationStream | None = stream
        while epoch == self._member.epoch:
            try:
                current = current or await self._reconnect(primary, epoch)
                await self._replicate_from_stream(current, epoch)
            except (OSError, EOFError):
                await asyncio.sleep(_RETRY_INTERVAL_S)
            finally:
                if current is not None:
                    current.close()
                current = None

    async def _reconnect(
        self, primary: PrimaryAddress, epoch: int
    ) -> ReplicationStream:
        connection = await self._connect(primary)
        if epoch == self._member.epoch:
            self._member.truncate(connection.matched_position)
        return connection.stream

    async def _replicate_from_stream(
        self, stream: ReplicationStream, epoch: int
    ) -> None:
        queue = _DelayQueue(member=self._member, faults=self._faults)
        tasks = [
            asyncio.create_task(self._receive(stream, queue, epoch)),
            asyncio.create_task(self._send_pings(stream)),
            asyncio.create_task(queue.apply_when_due(epoch)),
        ]
        try:
            done, _ = await asyncio.wait(
                tasks, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                task.result()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _receive(
        self, stream: ReplicationStream, queue: '_DelayQueue', epoch: int
    ) -> None:
        while True:
            async with asyncio.timeout(_RECEIVE_TIMEOUT_S):
                message = await stream.receive()
            if self._faults.is_replication_cut:
                raise OSError('replication is cut off by a fault')
            self._member.record_contact(epoch)
            match message:
                case Entries(entries):
                    queue.add(entries)
                case Pong(sent_at, last_position):
                    queue.record_primary_position(sent_at, last_position, epoch)

    async def _send_pings(self, stream: ReplicationStream) -> None:
        while True:
            await stream.send(Ping(sent_at=time.monotonic()))
            await asyncio.sleep(_PING_INTERVAL_S)


def _exit_on_failure(task: asyncio.Task[None]) -> None:
    """Exit the process, because log and data may be inconsistent."""
    if not task.cancelled() and task.exception() is not None:
        traceback.print_exception(task.exception())
        os._exit(_EXIT_INCONSISTENT)


class _DelayQueue:
    """Queue of received entries that are not due before a delay."""

    def __init__(self, *, member: GroupMember, faults: Faults) -> None:
        self._member = member
        self._faults = faults
        self._entries: deque[tuple[float, Entry]] = deque()
        self._primary_positions: deque[tuple[int, float]] = deque()
        self._arrived = asyncio.Event()

    def add(self, entries: tuple[Entry, ...]) -> None:
        """Queue entries that have just arrived."""
        due = time.monotonic() + self._faults.replication_delay_s
        self._entries.extend((due, entry) for entry in entries)
        self._arrived.set()

    def record_primary_position(
        self, sent_at: float, last_position: int, epoch: int
    ) -> None:
        """Record the primary's last position from a pong.

        Once the member has applied this position, it has all that the
        primary had when the ping was sent.

        Parameters
        ----------
        sent_at
            Time of the ping on this member's monotonic clock, in seconds.
        last_position
            Last position of the primary's log.
        epoch
            Epoch of the member in which the stream was opened.
        """
        self._primary_positions.append((last_position, sent_at))
        self._record_caught_up(epoch)

    async def apply_when_due(self, epoch: int) -> None:
        """Apply each entry when it is due, until cancelled."""
        while True:
            if not self._entries:
                self._arrived.clear()
                await self._arrived.wait()
            wait_s = self._entries[0][0] - time.monotonic()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            self._member.append_entries(self._pop_due(), epoch)
            self._record_caught_up(epoch)

    def _pop_due(self) -> list[Entry]:
        now = time.monotonic()
        due_entries = []
        while self._entries and self._entries[0][0] <= now:
            due_entries.append(self._entries.popleft()[1])
        return due_entries

    def _record_caught_up(self, epoch: int) -> None:
        position = self._member.log.last_position
        positions = self._primary_positions
        while positions and positions[0][0] <= position:
            self._member.record_caught_up(epoch, positions.popleft()[1])
