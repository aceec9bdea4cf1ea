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
# A stream without answers for this time is opened anew.
_SILENCE_LIMIT_S = 1.0
_RETRY_INTERVAL_S = 0.05
_EXIT_BROKEN = 70


@dataclass(frozen=True, kw_only=True, slots=True)
class PrimaryAddress:
    """The primary that a replica follows, and its term."""

    term: int
    host: str
    port: int


@dataclass(frozen=True, kw_only=True, slots=True)
class _OpenedStream:
    stream: ReplicationStream
    matched_position: int


class Puller:
    """Pulls entries from the primary and applies them after the delay.

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
        member.stop_pulling = self.stop

    async def follow(self, primary: PrimaryAddress) -> int:
        """Follow a primary and return the number of truncated entries.

        Raises
        ------
        MemberError
            With number 1644 if the term is refused or the primary does not
            serve this member; nothing is changed then.
        """
        self._member.check_follow(primary.term)
        try:
            opened = await self._open(primary)
        except (OSError, EOFError) as error:
            raise MemberError(
                1644,
                f'no replication from {primary.host}:{primary.port}: '
                f'{error or type(error).__name__}; call group_follow again',
            ) from error
        try:
            truncated = self._member.follow(
                primary.term, opened.matched_position
            )
        except BaseException:
            opened.stream.close()
            raise
        self._task = asyncio.create_task(
            self._pull(primary, opened.stream, self._member.epoch)
        )
        self._task.add_done_callback(_end_process_on_failure)
        return truncated

    def stop(self) -> None:
        """Stop pulling; entries that wait for the delay are dropped."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    async def _open(self, primary: PrimaryAddress) -> _OpenedStream:
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            return await self._handshake(primary)

    async def _handshake(self, primary: PrimaryAddress) -> _OpenedStream:
        if self._faults.is_replication_cut:
            raise OSError('replication is cut off by a fault')
        stream = await open_stream(primary.host, primary.port)
        try:
            return await self._match(stream, primary)
        except BaseException:
            stream.close()
            raise

    async def _match(
        self, stream: ReplicationStream, primary: PrimaryAddress
    ) -> _OpenedStream:
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
                return _OpenedStream(
                    stream=stream, matched_position=matched_position
                )
            case FollowRefused(problem):
                raise OSError(problem)
            case message:
                raise OSError(f'unexpected message {message!r}')

    async def _pull(
        self, primary: PrimaryAddress, stream: ReplicationStream, epoch: int
    ) -> None:
        """Pull until the member's role changes."""
        opened: ReplicationStream | None = stream
        while epoch == self._member.epoch:
            try:
                opened = opened or await self._reopen(primary, epoch)
                await self._pull_stream(opened, epoch)
            except (OSError, EOFError):
                await asyncio.sleep(_RETRY_INTERVAL_S)
            finally:
                if opened is not None:
                    opened.close()
                opened = None

    async def _reopen(
        self, primary: PrimaryAddress, epoch: int
    ) -> ReplicationStream:
        opened = await self._open(primary)
        if epoch == self._member.epoch:
            self._member.truncate(opened.matched_position)
        return opened.stream

    async def _pull_stream(self, stream: ReplicationStream, epoch: int) -> None:
        backlog = _Backlog(member=self._member, faults=self._faults)
        tasks = [
            asyncio.create_task(self._receive(stream, backlog, epoch)),
            asyncio.create_task(self._send_pings(stream)),
            asyncio.create_task(backlog.apply_when_due(epoch)),
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
        self, stream: ReplicationStream, backlog: '_Backlog', epoch: int
    ) -> None:
        while True:
            async with asyncio.timeout(_SILENCE_LIMIT_S):
                message = await stream.receive()
            if self._faults.is_replication_cut:
                raise OSError('replication is cut off by a fault')
            self._member.note_contact(epoch)
            match message:
                case Entries(entries):
                    backlog.add(entries)
                case Pong(sent_at, last_position):
                    backlog.note_primary(sent_at, last_position, epoch)

    async def _send_pings(self, stream: ReplicationStream) -> None:
        while True:
            await stream.send(Ping(sent_at=time.monotonic()))
            await asyncio.sleep(_PING_INTERVAL_S)


def _end_process_on_failure(task: asyncio.Task[None]) -> None:
    """End the process: log and data of the member may differ."""
    if not task.cancelled() and task.exception() is not None:
        traceback.print_exception(task.exception())
        os._exit(_EXIT_BROKEN)


class _Backlog:
    """Received entries that wait for the replication delay."""

    def __init__(self, *, member: GroupMember, faults: Faults) -> None:
        self._member = member
        self._faults = faults
        self._entries: deque[tuple[float, Entry]] = deque()
        self._primary_positions: deque[tuple[int, float]] = deque()
        self._arrived = asyncio.Event()

    def add(self, entries: tuple[Entry, ...]) -> None:
        """Add entries that have just arrived."""
        due = time.monotonic() + self._faults.replication_delay_s
        self._entries.extend((due, entry) for entry in entries)
        self._arrived.set()

    def note_primary(
        self, sent_at: float, last_position: int, epoch: int
    ) -> None:
        """Note where the primary was after a moment of this member's clock."""
        self._primary_positions.append((last_position, sent_at))
        self._note_complete(epoch)

    async def apply_when_due(self, epoch: int) -> None:
        """Apply entries as their delay ends."""
        while True:
            if not self._entries:
                self._arrived.clear()
                await self._arrived.wait()
            wait_s = self._entries[0][0] - time.monotonic()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            self._member.receive(self._take_due(), epoch)
            self._note_complete(epoch)

    def _take_due(self) -> list[Entry]:
        now = time.monotonic()
        taken = []
        while self._entries and self._entries[0][0] <= now:
            taken.append(self._entries.popleft()[1])
        return taken

    def _note_complete(self, epoch: int) -> None:
        position = self._member.log.last_position
        positions = self._primary_positions
        while positions and positions[0][0] <= position:
            self._member.note_complete(epoch, positions.popleft()[1])
