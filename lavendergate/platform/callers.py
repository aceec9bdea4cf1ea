"""Server side of the platform's statement protocol, for callers."""

from collections.abc import Awaitable, Callable
from functools import partial

import anyio
from anyio.abc import SocketStream, TaskStatus

from lavendergate.core.customers.table import digest_key
from lavendergate.core.sessions.statements import (
    Completed,
    RefusalCode,
    Refused,
    SessionAnswer,
)
from lavendergate.frontend.caller_channel import (
    CallerChannel,
    CallerDisconnectedError,
    CallerRequest,
    SessionEndRequest,
    SessionStart,
)
from lavendergate.platform.line_codec import (
    encode_answer,
    encode_ready,
    encode_refusal,
    parse_request,
)
from lavendergate.platform.line_stream import (
    LOST_CONNECTION_ERRORS,
    LOST_OR_TIMEOUT_ERRORS,
    LineStream,
    LongLineRefusedError,
    LongLines,
)
from lavendergate.supervision.boundary import Boundary
from lavendergate.supervision.connection_gate import ConnectionGate
from lavendergate.supervision.error_text import leaf_errors
from lavendergate.supervision.listener import Listener

_BACKLOG = 4096
# Time within which a new connection must send its START line, in seconds.
# A connection that sends nothing is not a caller.
_START_TIMEOUT_S = 5.0

# Time within which a caller that is refused must send its START line.
_REFUSAL_START_S = 0.5
# A caller that takes no byte of its answer between two checks is disconnected.
# The time between them is longer than the network can be interrupted without
# losing the connection, in seconds.
_SLOW_READER_S = 5.0
_NO_ROOM = Refused(
    code=RefusalCode.connection_limit,
    text='this host serves as many callers as it can; connect again',
)

# A START line is never so long.
_START_ERRORS = (*LOST_OR_TIMEOUT_ERRORS, LongLineRefusedError)
_NO_ROOM_FOR_LINE = Refused(
    code=RefusalCode.busy,
    text='this host has no room for so long a statement now; retry in 1 s',
    retry_after_s=1,
)

_START_ANSWER = SessionAnswer(outcome=Completed())

ServeCaller = Callable[[CallerChannel], Awaitable[None]]


def _do_nothing() -> None:
    """Ignore that the START line has arrived."""


class LineCallerChannel(CallerChannel):
    """A caller's connection in the line-based statement protocol.

    Parameters
    ----------
    stream
        Line stream on the connection.
    on_start
        Called when the START line has arrived.
    """

    def __init__(
        self, *, stream: LineStream, on_start: Callable[[], None] = _do_nothing
    ) -> None:
        self._stream = stream
        self._on_start = on_start
        self._writes_begun = 0
        self._writes_done = 0

    @property
    def unfinished_write(self) -> int | None:
        """Number of the write that the caller has not taken yet."""
        if self._writes_begun == self._writes_done:
            return None
        return self._writes_begun

    async def receive_start(self) -> SessionStart | None:
        """Read the START line; return its fields, None if invalid."""
        try:
            with anyio.fail_after(_START_TIMEOUT_S):
                word, rest = await self._stream.read()
        except _START_ERRORS as error:
            raise CallerDisconnectedError(repr(error)) from error
        self._on_start()
        database, _, key = rest.partition(' ')
        if word != 'START' or not database:
            return None
        return SessionStart(
            database=database, key_digest=digest_key(key) if key else None
        )

    async def accept(self) -> None:
        """Send the READY line that confirms the start of the session."""
        await self._write(encode_ready(_START_ANSWER))

    async def refuse(self, refusal: Refused) -> None:
        """Send an error line that refuses the session."""
        await self._write(encode_refusal(refusal))

    async def receive(self) -> CallerRequest | SessionEndRequest:
        """Wait for the next request line."""
        try:
            word, rest = await self._stream.read()
        except LOST_CONNECTION_ERRORS as error:
            raise CallerDisconnectedError(repr(error)) from error
        except LongLineRefusedError:
            return CallerRequest(
                request_id='-', statement=None, refusal=_NO_ROOM_FOR_LINE
            )
        if word == 'BYE':
            return SessionEndRequest()
        request_id, statement = parse_request(rest)
        if word != 'QUERY':
            statement = None
        return CallerRequest(request_id=request_id, statement=statement)

    async def answer(self, answer: SessionAnswer) -> None:
        """Send the answer to the last statement."""
        await self._write(encode_answer(answer))

    async def close(self) -> None:
        """Close the connection."""
        await self._stream.close()

    async def _write(self, lines: bytes) -> None:
        self._writes_begun += 1
        try:
            await self._stream.write(lines)
        except LOST_CONNECTION_ERRORS as error:
            raise CallerDisconnectedError(repr(error)) from error
        self._writes_done += 1


async def serve_callers(
    address: str,
    serve: ServeCaller,
    *,
    boundary: Boundary,
    gate: ConnectionGate | None = None,
    long_lines: LongLines | None = None,
    task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Accept and serve callers until cancelled.

    Parameters
    ----------
    address
        Address to listen on, ``ip:port``.
    serve
        Serves one caller until its session ends.
    boundary
        Receives unexpected errors.
    gate
        Bounds the connections; None if they are not bounded.
    long_lines
        Bounds the long lines of all callers; None if they are not bounded.

    Raises
    ------
    OSError
        If the address cannot be listened on.
    """
    connections = _CallerConnections(
        serve=serve, gate=gate, long_lines=long_lines
    )
    listener = Listener(
        place='callers', serve=connections.serve, boundary=boundary
    )
    try:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                boundary.keep_running, 'slow readers', connections.close_slow
            )
            await listener.run(
                address, backlog=_BACKLOG, task_status=task_status
            )
    except ExceptionGroup as group:
        # Only the listener raises: who starts it tries again on `OSError`.
        raise next(leaf_errors(group)) from group


class _CallerConnections:
    """Connections of callers on one listener."""

    def __init__(
        self,
        *,
        serve: ServeCaller,
        gate: ConnectionGate | None,
        long_lines: LongLines | None,
    ) -> None:
        self._serve_caller = serve
        self._gate = gate
        self._long_lines = long_lines
        self._channels: set[LineCallerChannel] = set()

    async def serve(self, stream: SocketStream) -> None:
        """Serve a connection, or refuse it if there is no room for it."""
        gate = self._gate
        lines = LineStream(stream=stream, long_lines=self._long_lines)
        if gate is None:
            await self._run(LineCallerChannel(stream=lines), self._serve_caller)
            return
        with gate.enter() as connection, anyio.CancelScope() as scope:
            channel = LineCallerChannel(
                stream=lines,
                on_start=partial(gate.end_waiting, connection),
            )
            if connection.is_served:
                gate.begin_waiting(connection, scope.cancel)
                await self._run(channel, self._serve_caller)
            else:
                await self._run(
                    channel, partial(_refuse, is_cut=connection.is_cut)
                )

    async def close_slow(self) -> None:
        """Close the connections of callers that read no answer."""
        unfinished: dict[LineCallerChannel, int | None] = {}
        while True:
            await anyio.sleep(_SLOW_READER_S)
            for channel, write in unfinished.items():
                if write is not None and channel.unfinished_write == write:
                    await channel.close()
            unfinished = {
                served: served.unfinished_write for served in self._channels
            }

    async def _run(
        self, channel: LineCallerChannel, serve: ServeCaller
    ) -> None:
        self._channels.add(channel)
        try:
            await serve(channel)
        except CallerDisconnectedError:
            # The caller has disconnected, so there is no answer to send.
            return
        finally:
            self._channels.discard(channel)
            await channel.close()


async def _refuse(channel: CallerChannel, *, is_cut: bool) -> None:
    """Tell a caller that there is no room for its session.

    Bytes that were not read when the connection is closed would reset it, and
    the caller might not receive the refusal.
    """
    if not is_cut:
        with anyio.move_on_after(_REFUSAL_START_S):
            await channel.receive_start()
    await channel.refuse(_NO_ROOM)
