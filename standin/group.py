"""State of one group member: role, promised term, log and data."""

import asyncio
import time
from collections.abc import Callable, Sequence
from pathlib import Path

from lavendergate.core.types import (
    LogPosition,
    MemberRole,
    MemberStatus,
    Term,
)
from standin.database import Database, DataConnection
from standin.errors import MemberError, read_only_error
from standin.log import Entry, ReplicationLog, Statement
from standin.promise import Promise, PromiseFile
from standin.writer import WriterLock

_UNKNOWN_AGE_MS = 2**31 - 1
_MS_PER_S = 1000


class GroupMember:
    """Role, promise, log and data of one member.

    All state changes are synchronous, so that no change can interleave with
    another one. In return, a sync of the log blocks the event loop for its
    duration.

    Parameters
    ----------
    directory
        Data directory of the member.
    """

    def __init__(self, *, directory: Path) -> None:
        directory.mkdir(parents=True, exist_ok=True)
        self.log = ReplicationLog(directory=directory)
        self.database = Database(directory=directory, log=self.log)
        self.writer = WriterLock()
        self.connection_count: Callable[[], int] = lambda: 0
        self.stop_replication: Callable[[], None] = lambda: None
        self._promise_file = PromiseFile(directory=directory)
        stored = self._promise_file.load()
        self._promise = stored or Promise()
        # A restarted member doesn't know what it missed while it was down, so
        # it starts fenced and waits for the next fence.
        is_new = stored is None and not self.log.last_position
        self._role = MemberRole.replica if is_new else MemberRole.fenced
        if stored is None:
            self._promise_file.store(self._promise)
        self._served_term: int | None = None
        self._epoch = 0
        self._contact_at: float | None = None
        self._caught_up_at: float | None = None
        self._change_event = asyncio.Event()

    @property
    def role(self) -> MemberRole:
        """Current role."""
        return self._role

    @property
    def promised_term(self) -> int:
        """Highest term that the member promised to a fence."""
        return self._promise.term

    @property
    def served_term(self) -> int | None:
        """Term in which the member became primary, None once it follows."""
        return self._served_term

    @property
    def epoch(self) -> int:
        """Counter that is incremented when role or promise change."""
        return self._epoch

    def status(self) -> MemberStatus:
        """Return what the member reports about itself."""
        is_primary = self._role is MemberRole.primary
        return MemberStatus(
            promised_term=Term(self._promise.term),
            last_entry=self.last_entry(),
            role=self._role,
            primary_contact_ms=0 if is_primary else _age_ms(self._contact_at),
            applied_age_ms=0 if is_primary else _age_ms(self._caught_up_at),
            connections=self.connection_count(),
        )

    def last_entry(self) -> LogPosition:
        """Return term and position of the last entry of the log."""
        return LogPosition(
            term=Term(self.log.last_term), position=self.log.last_position
        )

    def holds(self, entry: LogPosition) -> bool:
        """Return whether the log contains an entry."""
        return self.log.term_at(entry.position) == entry.term

    def check_writable(self, epoch: int | None = None) -> None:
        """Raise an error if this member may not execute a write.

        Parameters
        ----------
        epoch
            Epoch in which the transaction began, None for a new one.

        Raises
        ------
        MemberError
            With number 1290 if the member is not the primary, or its role
            changed since the transaction began.
        """
        if self._role is not MemberRole.primary:
            raise read_only_error(f'this member is {self._role.value}')
        if epoch is not None and epoch != self._epoch:
            raise read_only_error('the transaction was rolled back by a fence')

    def commit(
        self,
        connection: DataConnection,
        statements: Sequence[Statement],
        epoch: int,
    ) -> LogPosition:
        """Append an open transaction to the log, sync it, then commit it."""
        self.check_writable(epoch)
        entry = Entry(
            term=self._promise.term,
            position=self.log.last_position + 1,
            statements=tuple(statements),
        )
        self.log.append([entry])
        connection.commit_entry(entry.term, entry.position)
        self.notify_waiters()
        return self.last_entry()

    def fence(self, term: int) -> None:
        """Promise a term and refuse writes until the next promotion."""
        if term <= self._promise.term:
            raise MemberError(
                1644,
                f'term {term} is not above the promised term '
                f'{self._promise.term}; fence with a higher term',
            )
        self._store_promise(Promise(term=term, is_open=True))
        if self._role is MemberRole.primary:
            self._contact_at = self._caught_up_at = time.monotonic()
        self._change_role(MemberRole.fenced)

    def promote(self, term: int) -> None:
        """Become the primary of the promised term, once per promise."""
        is_promised = self._promise == Promise(term=term, is_open=True)
        if not is_promised or self._role is not MemberRole.fenced:
            raise MemberError(
                1644,
                f'promotion in term {term} is refused: the promised term is '
                f'{self._promise.term}, the promise is '
                f'{"open" if self._promise.is_open else "used"} and the '
                f'role is {self._role.value}; fence with a new term first',
            )
        self._store_promise(Promise(term=term, is_open=False))
        self._change_role(MemberRole.primary)
        self._served_term = term

    def check_follow(self, term: int) -> None:
        """Raise an error if this member may not follow in a term.

        Raises
        ------
        MemberError
            With number 1644 if the term is below the promised one, or this
            member is itself the primary of the term.
        """
        if term < self._promise.term:
            raise MemberError(
                1644,
                f'term {term} is below the promised term '
                f'{self._promise.term}; follow the primary of that term',
            )
        if self._served_term == term:
            raise MemberError(
                1644, f'this member is itself the primary of term {term}'
            )

    def follow(self, term: int, matched_position: int) -> int:
        """Become a replica and truncate entries that the primary lacks.

        Parameters
        ----------
        matched_position
            Last position that the log shares with the primary's.

        Returns
        -------
        int
            Number of truncated entries.
        """
        self.check_follow(term)
        if self._promise != Promise(term=term, is_open=False):
            self._store_promise(Promise(term=term, is_open=False))
        self._change_role(MemberRole.replica)
        self._served_term = None
        self._contact_at = time.monotonic()
        return self.truncate(matched_position)

    def truncate(self, position: int) -> int:
        """Remove the entries after a position and return their number."""
        truncated = self.log.truncate(position)
        if truncated:
            self.database.rebuild()
            self.notify_waiters()
        return truncated

    def append_entries(self, entries: Sequence[Entry], epoch: int) -> None:
        """Append, sync and apply entries; ignored in a later epoch."""
        if epoch != self._epoch or not entries:
            return
        self.log.append(entries)
        self.database.apply(entries)
        self.notify_waiters()

    def record_contact(self, epoch: int) -> None:
        """Record the time of a message from the primary."""
        if epoch == self._epoch:
            self._contact_at = time.monotonic()

    def record_caught_up(self, epoch: int, moment: float) -> None:
        """Record that the member has all that the primary had at a time.

        Parameters
        ----------
        epoch
            Epoch in which the stream was opened; ignored in a later one.
        moment
            Time on the monotonic clock, in seconds.
        """
        if epoch == self._epoch:
            self._caught_up_at = moment

    def notify_waiters(self) -> None:
        """Wake all tasks that wait for a change of log, promise or role."""
        self._change_event.set()
        self._change_event = asyncio.Event()

    async def wait_for_change(self) -> None:
        """Wait for the next change of log, promise, role or faults."""
        await self._change_event.wait()

    async def wait_for_entry(
        self, entry: LogPosition, timeout_s: float
    ) -> bool:
        """Wait for an entry, at most until the promised term changes.

        Returns
        -------
        bool
            Whether the log contains the entry.
        """
        promised_term = self._promise.term
        try:
            async with asyncio.timeout(timeout_s):
                while not self.holds(entry):
                    await self.wait_for_change()
                    if self._promise.term != promised_term:
                        break
        except TimeoutError:
            pass
        return self.holds(entry)

    def close(self) -> None:
        """Close log and data."""
        self.stop_replication()
        self.database.close()
        self.log.close()

    def _store_promise(self, promise: Promise) -> None:
        self._promise_file.store(promise)
        self._promise = promise

    def _change_role(self, role: MemberRole) -> None:
        self.stop_replication()
        self._epoch += 1
        self._role = role
        self.writer.abort()
        self.notify_waiters()


def _age_ms(moment: float | None) -> int:
    if moment is None:
        return _UNKNOWN_AGE_MS
    return int((time.monotonic() - moment) * _MS_PER_S)
