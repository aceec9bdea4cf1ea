"""Accepts TCP connections and serves each inside the boundary."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from anyio.abc import SocketStream, TaskGroup, TaskStatus

from lavendergate.supervision.boundary import Boundary

# Pause after an error of accept. Connections wait in the queue of the kernel
# meanwhile, and descriptors may become free.
ACCEPT_PAUSE_S = 0.05
# A listener without descriptors fails with every attempt. Its errors are all
# counted, but logged once in this time.
_LOG_INTERVAL_S = 10.0

ServeConnection = Callable[[SocketStream], Awaitable[object]]


class Listener:
    """Accepts connections until cancelled, whatever accept answers.

    An error of accept (no descriptors, no memory, a connection that was
    aborted) makes the listener pause for `ACCEPT_PAUSE_S` and go on. An
    unexpected error of one connection ends that connection only.

    Parameters
    ----------
    place
        Name of the listener in the log and in metrics.
    serve
        Serves one connection. The connection is closed when it returns.
    boundary
        Receives the errors.
    """

    def __init__(
        self, *, place: str, serve: ServeConnection, boundary: Boundary
    ) -> None:
        self._place = place
        self._serve = serve
        self._boundary = boundary
        self._logged_at = float('-inf')

    async def run(
        self,
        address: str,
        *,
        backlog: int,
        task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listen on an address, ``ip:port``, until cancelled.

        Raises
        ------
        OSError
            If the address cannot be listened on.
        """
        ip, _, port = address.rpartition(':')
        sockets = await anyio.create_tcp_listener(
            local_host=ip, local_port=int(port), backlog=backlog
        )
        async with sockets, anyio.create_task_group() as tasks:
            task_status.started()
            for accepting in sockets.listeners:
                tasks.start_soon(self.accept_from, accepting, tasks)

    async def accept_from(self, accepting: Any, tasks: TaskGroup) -> None:
        """Accept connections of a socket until cancelled.

        Parameters
        ----------
        accepting
            Listening socket, with a method ``accept``.
        tasks
            Task group that serves the connections.
        """
        while True:
            try:
                stream = await accepting.accept()
            except Exception as error:
                self._report(error)
                await anyio.sleep(ACCEPT_PAUSE_S)
                continue
            _pause_reading(stream)
            tasks.start_soon(
                self._boundary.run, self._place, self._serve_one, stream
            )

    async def _serve_one(self, stream: SocketStream) -> None:
        try:
            await self._serve(stream)
        finally:
            await anyio.aclose_forcefully(stream)

    def _report(self, error: Exception) -> None:
        now = anyio.current_time()
        is_logged = now - self._logged_at >= _LOG_INTERVAL_S
        if is_logged:
            self._logged_at = now
        self._boundary.report(
            f'accept {self._place}', error, is_logged=is_logged
        )


def _pause_reading(stream: SocketStream) -> None:
    """Read no bytes before they are asked for.

    An accepted stream of anyio reads all that arrives until its buffer has
    been empty once, so a peer that sends faster than it is served would fill
    the memory.
    """
    transport = getattr(stream, '_transport', None)
    if transport is not None and transport.is_reading():
        transport.pause_reading()
