"""The lock that serializes write transactions."""

import asyncio
from collections.abc import Callable

from standin.errors import MemberError


class WriterLock:
    """Lock of the open write transaction, granted in order of arrival."""

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
            Rolls the transaction back; called when the member's role changes.
        timeout_s
            Longest wait, in seconds.

        Raises
        ------
        MemberError
            With number 1205 if the lock is not acquired in time.
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
        """Release the lock to the next waiting transaction."""
        self._abort = None
        self._lock.release()

    def abort(self) -> None:
        """Abort the transaction that holds the lock, if there is one."""
        if self._abort is not None:
            self._abort()
