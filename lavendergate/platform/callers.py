"""Server side of the platform's statement protocol, for callers."""

from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import SocketStream, TaskStatus

from lavendergate.core.customers.table import digest_key
from lavendergate.core.sessions.statements import (
    Completed,
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
)
from lavendergate.supervision.boundary import Boundary
from lavendergate.supervision.listener import Listener

_BACKLOG = 4096
# Time within which a new connection must send its START line, in seconds.
# A connection that sends nothing is not a caller.
_START_TIMEOUT_S = 5.0

_START_ANSWER = SessionAnswer(outcome=Completed())

ServeCaller = Callable[[CallerChannel], Awaitable[None]]


class LineCallerChannel(CallerChannel):
    """A caller's connection in the line-based statement protocol.

    Parameters
    ----------
    stream
        Line stream on the connection.
    """

    def __init__(self, *, stream: LineStream) -> None:
        self._stream = stream

    async def receive_start(self) -> SessionStart | None:
        """Read the START line; return its fields, None if invalid."""
        try:
            with anyio.fail_after(_START_TIMEOUT_S):
                word, rest = await self._stream.read()
        except LOST_OR_TIMEOUT_ERRORS as error:
            raise CallerDisconnectedError(repr(error)) from error
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
        try:
            await self._stream.write(lines)
        except LOST_CONNECTION_ERRORS as error:
            raise CallerDisconnectedError(repr(error)) from error


async def serve_callers(
    address: str,
    serve: ServeCaller,
    *,
    boundary: Boundary,
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

    Raises
    ------
    OSError
        If the address cannot be listened on.
    """

    async def handle(stream: SocketStream) -> None:  # noqa: WPS430
        channel = LineCallerChannel(stream=LineStream(stream=stream))
        try:
            await serve(channel)
        except CallerDisconnectedError:
            # The caller has disconnected, so there is no answer to send.
            return
        finally:
            await channel.close()

    listener = Listener(place='callers', serve=handle, boundary=boundary)
    await listener.run(address, backlog=_BACKLOG, task_status=task_status)
