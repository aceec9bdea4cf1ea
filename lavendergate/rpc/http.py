"""Minimal HTTP/1.1 server and client built on h11.

Used for calls whose protocol is defined by the platform that runs
lavendergate. Calls between lavendergate processes use gRPC.
"""

import contextlib
import socket
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from functools import partial

import anyio
import h11
from anyio.abc import SocketAttribute, SocketStream, TaskStatus

from lavendergate.supervision.boundary import Boundary
from lavendergate.supervision.connection_gate import ConnectionGate
from lavendergate.supervision.listener import Listener

_READ_SIZE_BYTES = 65_536
# Time for a complete request to arrive, in seconds. Also closes a persistent
# connection that stays idle for this long.
_REQUEST_TIMEOUT_S = 15.0
_WRITE_TIMEOUT_S = 5.0
_BACKLOG = 1024
_MS_PER_S = 1000
_OK = 200
_JSON = 'application/json'
_BAD_REQUEST = 400
_CONTENT_TOO_LARGE = 413
_INTERNAL_ERROR = 500
_UNAVAILABLE = 503
# Time for the rest of a request that is refused, in seconds.
_REFUSAL_TIMEOUT_S = 0.5

_CONNECTION_ERRORS = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
    TimeoutError,
)


_PEER_ERRORS = (*_CONNECTION_ERRORS, h11.ProtocolError)


@dataclass(frozen=True, kw_only=True, slots=True)
class HttpRequest:
    """Request with its complete body."""

    method: str
    path: str
    body: bytes = b''


@dataclass(frozen=True, kw_only=True, slots=True)
class HttpResponse:
    """Response with its complete body."""

    status: int = _OK
    body: bytes = b''
    content_type: str = _JSON


class HttpCallError(Exception):
    """No complete response arrived; the request may have been executed."""


class HttpNotSentError(Exception):
    """The right to send the request ended before it was sent."""


RequestHandler = Callable[[HttpRequest], Awaitable[HttpResponse]]


async def serve_http(
    address: str,
    handle: RequestHandler,
    *,
    max_body_bytes: int,
    boundary: Boundary,
    gate: ConnectionGate | None = None,
    max_buffered_bytes: int | None = None,
    task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve requests until cancelled.

    An unexpected error of the handler is answered with status 500.

    Parameters
    ----------
    address
        Address to listen on, ``ip:port``.
    handle
        Returns the response to one request.
    max_body_bytes
        Maximum length of a request body in bytes; a longer one is answered
        with status 413.
    boundary
        Receives unexpected errors.
    gate
        Bounds the connections; None if they are not bounded. One too many is
        answered with status 503.
    max_buffered_bytes
        Maximum length of all request bodies that are held at the same time,
        in bytes; a request above it is answered with status 503. None if
        there is no maximum.

    Raises
    ------
    OSError
        If the address cannot be listened on.
    """

    async def respond(request: HttpRequest) -> HttpResponse:  # noqa: WPS430
        with boundary.contain('http request'):
            return await handle(request)
        return HttpResponse(status=_INTERNAL_ERROR)

    bodies = _BodyMemory(limit=max_buffered_bytes)

    async def serve(  # noqa: WPS430
        stream: SocketStream,
        begin_request: Callable[[], None] = _do_nothing,
        end_request: Callable[[], None] = _do_nothing,
    ) -> None:
        connection = _ServerConnection(
            stream=stream,
            max_body_bytes=max_body_bytes,
            bodies=bodies,
            begin_request=begin_request,
            end_request=end_request,
        )
        try:
            await connection.serve(respond)
        except _PEER_ERRORS:
            # The peer disconnected, timed out or violated HTTP. Only this
            # connection ends.
            return

    async def serve_gated(stream: SocketStream) -> None:  # noqa: WPS430
        assert gate is not None
        with gate.enter() as connection, anyio.CancelScope() as scope:
            if connection.is_served:
                await serve(
                    stream,
                    partial(gate.end_waiting, connection),
                    partial(gate.begin_waiting, connection, scope.cancel),
                )
            elif not connection.is_cut:
                with anyio.move_on_after(_REFUSAL_TIMEOUT_S):
                    await _refuse(stream, max_body_bytes, bodies)

    listener = Listener(
        place='http',
        serve=serve if gate is None else serve_gated,
        boundary=boundary,
    )
    await listener.run(address, backlog=_BACKLOG, task_status=task_status)


def _do_nothing() -> None:
    """Ignore that a request begins or ends."""


async def _refuse(
    stream: SocketStream, max_body_bytes: int, bodies: '_BodyMemory'
) -> None:
    async def respond(request: HttpRequest) -> HttpResponse:  # noqa: WPS430
        return HttpResponse(status=_UNAVAILABLE)

    connection = _ServerConnection(
        stream=stream, max_body_bytes=max_body_bytes, bodies=bodies
    )
    with contextlib.suppress(*_PEER_ERRORS):
        await connection.serve_one(respond)


async def call_http(
    address: str,
    request: HttpRequest,
    *,
    headers: Mapping[str, str],
    timeout_s: float,
    delivery_limit_s: float | None = None,
    may_send: Callable[[], bool] | None = None,
) -> HttpResponse:
    """Send a request on a new connection and return the response.

    Parameters
    ----------
    address
        Address of the server, ``ip:port``.
    headers
        Headers to send in addition to the default ones.
    timeout_s
        Time limit for the connection and the complete response, in seconds.
    delivery_limit_s
        Time in seconds after which the connection is reset if the server has
        not confirmed the receipt of the request.
    may_send
        Asked once the connection is open; if False, nothing is sent.

    Raises
    ------
    HttpCallError
        If no complete response arrives within the time limit.
    HttpNotSentError
        If `may_send` returned False.
    """
    ip, _, port = address.rpartition(':')
    try:
        with anyio.fail_after(timeout_s):
            async with await anyio.connect_tcp(ip, int(port)) as stream:
                if delivery_limit_s is not None:
                    _limit_delivery(stream, delivery_limit_s)
                if may_send is not None and not may_send():
                    raise HttpNotSentError
                return await _send_request(stream, address, request, headers)
    except _PEER_ERRORS as error:
        raise HttpCallError(
            f'no response from {address} to {request.method} {request.path}: '
            f'{error!r}'
        ) from error


def _limit_delivery(stream: SocketStream, limit_s: float) -> None:
    raw_socket = stream.extra(SocketAttribute.raw_socket)
    raw_socket.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        round(limit_s * _MS_PER_S),
    )


class _BodyTooLargeError(Exception):
    """A request body exceeds the limit of the server."""


class _NoMemoryError(Exception):
    """The bodies of all requests together exceed the limit of the server."""


class _BodyMemory:
    """Counts the bytes of request bodies that are held."""

    def __init__(self, *, limit: int | None) -> None:
        self._limit = limit
        self._held = 0

    def hold(self, count: int) -> None:
        """Count bytes, also if an error is raised because of them."""
        self._held += count
        if self._limit is not None and self._held > self._limit:
            raise _NoMemoryError

    def release(self, count: int) -> None:
        """Count bytes that are no longer held."""
        self._held -= count


class _ServerConnection:
    def __init__(
        self,
        *,
        stream: SocketStream,
        max_body_bytes: int,
        bodies: _BodyMemory,
        begin_request: Callable[[], None] = _do_nothing,
        end_request: Callable[[], None] = _do_nothing,
    ) -> None:
        self._bodies = bodies
        self._held_bytes = 0
        self._begin_request = begin_request
        self._end_request = end_request
        self._stream = stream
        self._max_body_bytes = max_body_bytes
        self._http = h11.Connection(h11.SERVER)

    async def serve(self, handle: RequestHandler) -> None:
        while True:
            self._end_request()
            if not await self.serve_one(handle):
                return
            self._http.start_next_cycle()

    async def serve_one(self, handle: RequestHandler) -> bool:
        """Serve a request; return whether another one may follow."""
        try:
            return await self._serve_request(handle)
        finally:
            self._release_body()

    def _release_body(self) -> None:
        self._bodies.release(self._held_bytes)
        self._held_bytes = 0

    async def _serve_request(self, handle: RequestHandler) -> bool:
        try:
            with anyio.fail_after(_REQUEST_TIMEOUT_S):
                request = await self._read_request()
        except h11.RemoteProtocolError:
            await self._reject(_BAD_REQUEST)
            return False
        except _BodyTooLargeError:
            await self._reject(_CONTENT_TOO_LARGE)
            return False
        except _NoMemoryError:
            await self._reject(_UNAVAILABLE)
            return False
        if request is None:
            return False
        self._begin_request()
        await self._respond(await handle(request))
        if self._http.our_state is not h11.DONE:
            return False
        return self._http.their_state is h11.DONE

    async def _read_request(self) -> HttpRequest | None:
        head: h11.Request | None = None
        body = bytearray()
        while True:
            event = await _next_event(self._http, self._stream)
            match event:
                case h11.Request():
                    head = event
                case h11.Data():
                    body.extend(event.data)
                    self._check_body_length(body)
                    self._held_bytes += len(event.data)
                    self._bodies.hold(len(event.data))
                case h11.EndOfMessage() if head is not None:
                    return HttpRequest(
                        method=head.method.decode(),
                        path=head.target.decode(),
                        body=bytes(body),
                    )
                case _:
                    return None

    def _check_body_length(self, body: bytearray) -> None:
        if len(body) > self._max_body_bytes:
            raise _BodyTooLargeError

    async def _reject(self, status: int) -> None:
        """Answer a request that was not read to its end.

        The rest of it is read and dropped: unread bytes would reset the
        connection when it is closed, and the peer might not get the answer.
        """
        self._release_body()
        await self._respond(HttpResponse(status=status))
        await self._stream.send_eof()
        with anyio.move_on_after(_REFUSAL_TIMEOUT_S):
            while True:
                await self._stream.receive()

    async def _respond(self, response: HttpResponse) -> None:
        if self._http.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        head = h11.Response(
            status_code=response.status,
            headers=_with_content_length(
                {'Content-Type': response.content_type}, response.body
            ),
        )
        encoded = self._http.send(head) or b''
        encoded += self._http.send(h11.Data(data=response.body)) or b''
        encoded += self._http.send(h11.EndOfMessage()) or b''
        with anyio.fail_after(_WRITE_TIMEOUT_S):
            await self._stream.send(encoded)


async def _send_request(
    stream: SocketStream,
    address: str,
    request: HttpRequest,
    headers: Mapping[str, str],
) -> HttpResponse:
    http = h11.Connection(h11.CLIENT)
    fields = {
        'Host': address,
        'Connection': 'close',
        'Content-Type': _JSON,
        **headers,
    }
    head = h11.Request(
        method=request.method,
        target=request.path,
        headers=_with_content_length(fields, request.body),
    )
    encoded = http.send(head) or b''
    encoded += http.send(h11.Data(data=request.body)) or b''
    encoded += http.send(h11.EndOfMessage()) or b''
    await stream.send(encoded)
    status = 0
    body = bytearray()
    while True:
        event = await _next_event(http, stream)
        match event:
            case h11.Response():
                status = event.status_code
            case h11.Data():
                body.extend(event.data)
            case h11.EndOfMessage():
                return HttpResponse(status=status, body=bytes(body))
            case h11.ConnectionClosed():
                raise OSError(
                    'the peer closed the connection before it responded'
                )


async def _next_event(
    http: h11.Connection, stream: SocketStream
) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
    while True:
        event = http.next_event()
        if event is not h11.NEED_DATA:
            return event
        try:
            received = await stream.receive(_READ_SIZE_BYTES)
        except anyio.EndOfStream:
            received = b''
        http.receive_data(received)


def _with_content_length(
    fields: Mapping[str, str], body: bytes
) -> list[tuple[str, str]]:
    return [
        *fields.items(),
        ('Content-Length', str(len(body))),
    ]
