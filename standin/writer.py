"""The lock that lets one write transaction run at a time."""

import asyncio
from collections.abc import Callable

from standin.errors import MemberError


class WriterLock:
    """Lock of the open write transaction, given in order of arrival."""

    def __init__(self) -> None:
        self._lock = asyncio.Lock()
        self._abort: Callable[[], None] | None = None

    async def acquire(
        self, abort: Callable[[], None], timeout_s: float
    ) -> None:
        """Wait for the lock.

        Parameters
        ----------
        abort
            Rolls the transaction back; called at a change of role.
        timeout_s
            Longest wait, in seconds.

        Raises
        ------
        MemberError
            With number 1205 after the longest wait.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self._lock.acquire()
        except TimeoutError:
            raise MemberError(
                1205,
                'Lock wait timeout exceeded; try restarting transaction',
            ) from None
        self._abort = abort

    def release(self) -> None:
        """Give the lock to the next transaction."""
        self._abort = None
        self._lock.release()

    def abort(self) -> None:
        """Roll back the transaction that holds the lock."""
        if self._abort is not None:
            self._abort()
