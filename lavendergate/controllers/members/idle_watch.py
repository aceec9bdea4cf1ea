"""Notices the end of a member's process between two polls."""

import anyio

from lavendergate.backends.sessions import MemberSession


class IdleWatch:
    """Watches a connection while no request runs on it.

    A process that ends closes its connections at once, so this tells its end
    without more polls. A host that loses power or the network closes nothing.
    """

    def __init__(self) -> None:
        self._scope: anyio.CancelScope | None = None

    def interrupt(self) -> None:
        """Let a request use the connection; the caller then waits for it."""
        if self._scope is not None:
            self._scope.cancel()

    async def is_lost_within(
        self, session: MemberSession, seconds: float
    ) -> bool:
        """Return whether the connection ends within a time, in seconds.

        False as soon as the watch is interrupted.
        """
        is_lost = False
        with anyio.move_on_after(seconds) as scope:
            self._scope = scope
            await session.wait_until_lost()
            is_lost = True
        self._scope = None
        return is_lost
