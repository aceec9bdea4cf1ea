"""Connections between proxies that carry relayed statements.

Each frame is a length and a MessagePack message. A connection carries any
number of statements at the same time. The path of statements does not use
gRPC, which takes several times the processor time for each of them.
"""

import itertools
import socket
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any, Protocol

import anyio
import msgspec
from anyio.abc import SocketAttribute, SocketStream, TaskGroup, TaskStatus
from anyio.streams.buffered import BufferedByteReceiveStream

from lavendergate.core.bounds.addresses import split_address
from lavendergate.core.bounds.decoding import (
    NotEncodableError,
    decode_msgpack,
    encode_msgpack,
)
from lavendergate.core.bounds.ranges import Integer
from lavendergate.rpc.limit_service import (
    LimitReply,
    LimitRequest,
    LimitTransport,
)
from lavendergate.rpc.relay_service import RelayReply, RelayRequest
from lavendergate.rpc.relay_transport import (
    RelayLostError,
    RelayNotSentError,
    RelayTransport,
)
from lavendergate.supervision.boundary import Boundary
from lavendergate.supervision.connection_gate import ConnectionGate
from lavendergate.supervision.listener import Listener

_BACKLOG = 1024
# Statements that one connection may have running. Above it no further ones
# are read, so that a proxy that sends without end fills no memory here. A
# proxy sends at most one statement for each of its callers.
_MAX_RUNNING = 4096
_LENGTH_BYTES = 4
# Time after which the kernel checks whether the peer of an idle connection is
# still there, in seconds.
_KEEPALIVE_IDLE_S = 10
_MAX_FRAME_BYTES = 4 * 1024 * 1024
_CONNECT_TIMEOUT_S = 0.35
_LOST_ERRORS = (
    anyio.EndOfStream,
    anyio.IncompleteRead,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    msgspec.MsgspecError,
    OSError,
)


class _RequestFrame(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A statement or a request to a limit's owner.

    It is a question for the time if it holds neither.
    """

    number: Integer
    request: RelayRequest | None
    limit_request: LimitRequest | None = None


class _ReplyFrame(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Answer to the request with this number."""

    number: Integer
    reply: RelayReply | None
    now_ms: Integer
    limit_reply: LimitReply | None = None


_encoder = msgspec.msgpack.Encoder()
_request_decoder = msgspec.msgpack.Decoder(_RequestFrame)
_reply_decoder = msgspec.msgpack.Decoder(_ReplyFrame)


class RelayHandler(Protocol):
    """Runs the statements that other proxies pass on."""

    def now_ms(self) -> int:
        """Return the time on the clock of expiries, in milliseconds."""

    async def handle(self, request: RelayRequest) -> RelayReply:
        """Run a statement."""


class LimitHandler(Protocol):
    """Answers the questions of other proxies to the owner of a limit."""

    async def handle(self, request: LimitRequest) -> LimitReply:
        """Answer the questions."""


class TaskStarter(Protocol):
    """Starts tasks in the background, as a task group does."""

    def start_soon(
        self,
        run: Callable[..., Coroutine[Any, Any, object]],
        /,
        *arguments: Any,
    ) -> object:
        """Start a task."""


class _FrameStream:
    """Reads and writes frames."""

    def __init__(self, *, stream: SocketStream) -> None:
        raw_socket = stream.extra(SocketAttribute.raw_socket)
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        raw_socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S
        )
        self._stream = stream
        self._buffer = BufferedByteReceiveStream(stream)
        self._lock = anyio.Lock()

    async def read(self) -> bytes:
        header = await self._buffer.receive_exactly(_LENGTH_BYTES)
        length = int.from_bytes(header)
        if length > _MAX_FRAME_BYTES:
            raise OSError(f'a frame of {length} bytes is too long')
        return await self._buffer.receive_exactly(length)

    async def write(self, message: _RequestFrame | _ReplyFrame) -> None:
        encoded = encode_msgpack(_encoder, message)
        async with self._lock:
            length = len(encoded).to_bytes(_LENGTH_BYTES)
            await self._stream.send(length + encoded)

    async def close(self) -> None:
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self._stream)


async def serve_relays(
    address: str,
    handler: RelayHandler,
    limits: LimitHandler | None = None,
    *,
    boundary: Boundary,
    gate: ConnectionGate | None = None,
    task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Run the statements of other proxies until cancelled.

    Parameters
    ----------
    address
        Address to listen on, ``ip:port``.
    limits
        Answers questions about limits; None if this host owns none.
    boundary
        Receives unexpected errors.
    gate
        Bounds the connections; None if they are not bounded.

    Raises
    ------
    OSError
        If the address cannot be listened on.
    """

    async def serve(  # noqa: WPS430
        stream: SocketStream, on_first_frame: Callable[[], None] | None = None
    ) -> None:
        connection = _ServedConnection(
            frames=_FrameStream(stream=stream),
            handler=handler,
            limits=limits,
            boundary=boundary,
            on_first_frame=on_first_frame,
        )
        try:
            await connection.run()
        except _LOST_ERRORS:
            # Only this connection ends.
            return

    async def serve_gated(stream: SocketStream) -> None:  # noqa: WPS430
        assert gate is not None
        with gate.enter() as connection, anyio.CancelScope() as scope:
            if connection.is_served:
                gate.begin_waiting(connection, scope.cancel)
                await serve(stream, partial(gate.end_waiting, connection))

    listener = Listener(
        place='relay',
        serve=serve if gate is None else serve_gated,
        boundary=boundary,
    )
    await listener.run(address, backlog=_BACKLOG, task_status=task_status)


class _ServedConnection:
    """Connection of another proxy, whose statements this one runs."""

    def __init__(
        self,
        *,
        frames: _FrameStream,
        handler: RelayHandler,
        limits: LimitHandler | None,
        boundary: Boundary,
        on_first_frame: Callable[[], None] | None = None,
    ) -> None:
        self._on_first_frame = on_first_frame
        self._frames = frames
        self._handler = handler
        self._limits = limits
        self._boundary = boundary
        self._running = 0
        self._has_room = anyio.Event()

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            try:
                await self._read_requests(tasks)
            except _LOST_ERRORS:
                # Statements whose answers nobody reads are broken off, which
                # makes their members roll back.
                tasks.cancel_scope.cancel()

    async def _read_requests(self, tasks: TaskGroup) -> None:
        while True:
            while self._running >= _MAX_RUNNING:
                self._has_room = anyio.Event()
                await self._has_room.wait()
            content = await self._frames.read()
            frame = decode_msgpack(_request_decoder, content)
            if self._on_first_frame is not None:
                self._on_first_frame()
                self._on_first_frame = None
            self._running += 1
            tasks.start_soon(self._answer, frame)

    async def _answer(self, frame: _RequestFrame) -> None:
        try:
            with self._boundary.contain('relayed request'):
                await self._write(await self._reply_to(frame))
                return
            # The other proxy can't know whether the statement ran, and must
            # not wait for its answer. A reply without content tells that.
            with self._boundary.contain('relayed request'):
                await self._write(self._reply(frame))
        finally:
            self._running -= 1
            self._has_room.set()

    async def _reply_to(self, frame: _RequestFrame) -> _ReplyFrame:
        request = frame.request
        reply = None if request is None else await self._handler.handle(request)
        asked = frame.limit_request
        limits = self._limits
        if asked is None or limits is None:
            return self._reply(frame, reply)
        return self._reply(frame, reply, await limits.handle(asked))

    def _reply(
        self,
        frame: _RequestFrame,
        reply: RelayReply | None = None,
        limit_reply: LimitReply | None = None,
    ) -> _ReplyFrame:
        return _ReplyFrame(
            number=frame.number,
            reply=reply,
            now_ms=self._handler.now_ms(),
            limit_reply=limit_reply,
        )

    async def _write(self, reply: _ReplyFrame) -> None:
        try:
            await self._frames.write(reply)
        except NotEncodableError:
            # Nothing was sent, and the connection is whole.
            raise
        except _LOST_ERRORS:
            # The reader of this connection notices the loss, too.
            return


class _Connection:
    """Connection to a home with the statements that wait for answers."""

    def __init__(self, *, frames: _FrameStream) -> None:
        self._frames = frames
        self._numbers = itertools.count(1)
        self._waiting: dict[int, anyio.Event] = {}
        self._replies: dict[int, _ReplyFrame] = {}
        self.is_lost = False

    async def call(
        self,
        request: RelayRequest | None,
        limit_request: LimitRequest | None = None,
    ) -> _ReplyFrame:
        number = next(self._numbers)
        answered = anyio.Event()
        self._waiting[number] = answered
        try:
            await self._frames.write(
                _RequestFrame(
                    number=number, request=request, limit_request=limit_request
                )
            )
            await answered.wait()
        except _LOST_ERRORS as error:
            raise RelayLostError(repr(error)) from error
        finally:
            self._waiting.pop(number, None)
        reply = self._replies.pop(number, None)
        if reply is None:
            raise RelayLostError('the connection was lost')
        return reply

    async def run(self) -> None:
        """Distribute the replies until the connection is lost."""
        try:
            while True:
                reply = decode_msgpack(
                    _reply_decoder, await self._frames.read()
                )
                answered = self._waiting.get(reply.number)
                if answered is not None:
                    self._replies[reply.number] = reply
                    answered.set()
        except _LOST_ERRORS:
            return
        finally:
            # Also after an unexpected error: calls must not wait for ever.
            self.fail()
            await self._frames.close()

    def fail(self) -> None:
        """Fail all calls that wait."""
        self.is_lost = True
        for answered in self._waiting.values():
            answered.set()

    async def close(self) -> None:
        """Close the connection, which ends `run`."""
        self.fail()
        await self._frames.close()


class StreamRelayTransport(RelayTransport, LimitTransport):
    """Calls home proxies over one connection each.

    Parameters
    ----------
    tasks
        Runs the readers of the connections.
    """

    def __init__(self, *, tasks: TaskStarter) -> None:
        self._tasks = tasks
        self._connections: dict[str, _Connection] = {}
        self._locks: dict[str, anyio.Lock] = {}

    async def run(self, address: str, request: RelayRequest) -> RelayReply:
        """Have a home run a statement; see the base class."""
        connection = await self._connect(address)
        frame = await connection.call(request)
        if frame.reply is None:
            raise RelayLostError(f'{address} sent no reply')
        return frame.reply

    async def read_time_ms(self, address: str) -> int:
        """Return the time of a home; see the base class."""
        connection = await self._connect(address)
        return (await connection.call(None)).now_ms

    async def ask_limits(
        self, address: str, request: LimitRequest
    ) -> LimitReply:
        """Ask the owner of a limit; see the base class."""
        connection = await self._connect(address)
        frame = await connection.call(None, request)
        if frame.limit_reply is None:
            raise RelayLostError(f'{address} sent no reply')
        return frame.limit_reply

    def disconnect(self, address: str) -> None:
        """Close the connection to a home; see the base class."""
        connection = self._connections.pop(address, None)
        if connection is not None:
            connection.fail()
            self._tasks.start_soon(connection.close)

    async def _connect(self, address: str) -> _Connection:
        async with self._locks.setdefault(address, anyio.Lock()):
            connection = self._connections.get(address)
            if connection is None or connection.is_lost:
                connection = await _open(address)
                self._connections[address] = connection
                self._tasks.start_soon(connection.run)
            return connection


async def _open(address: str) -> _Connection:
    try:
        with anyio.fail_after(_CONNECT_TIMEOUT_S):
            stream = await anyio.connect_tcp(*split_address(address))
    except OSError as error:
        raise RelayNotSentError(
            f'no connection to {address}: {error!r}'
        ) from error
    return _Connection(frames=_FrameStream(stream=stream))
