"""Small HTTP/1.1 server and client over h11.

For calls whose protocol the users' platform sets. Calls between the
system's own processes use gRPC.
"""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass

import anyio
import h11
from anyio.abc import SocketStream, TaskStatus

_READ_BYTES = 65_536
# Time for a whole request to arrive, in seconds. An idle connection that is
# kept open for the next request ends by it, too.
_REQUEST_TIMEOUT_S = 15.0
_WRITE_TIMEOUT_S = 5.0
_BACKLOG = 1024
_OK = 200
_JSON = 'application/json'
_BAD_REQUEST = 400
_TOO_LARGE = 413

_LOST = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
    TimeoutError,
)


_BROKEN = (*_LOST, h11.ProtocolError)


@dataclass(frozen=True, kw_only=True, slots=True)
class HttpRequest:
    """A request with its whole body."""

    method: str
    path: str
    body: bytes = b''


@dataclass(frozen=True, kw_only=True, slots=True)
class HttpResponse:
    """A response with its whole body."""

    status: int = _OK
    body: bytes = b''
    content_type: str = _JSON


class HttpCallError(Exception):
    """No response arrived; the call may have been carried out."""


HandleRequest = Callable[[HttpRequest], Awaitable[HttpResponse]]


async def serve_http(
    address: str,
    handle: HandleRequest,
    *,
    max_body_bytes: int,
    task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve requests until cancelled.

    Parameters
    ----------
    address
        Where to listen, ``ip:port``.
    handle
        Answers one request.
    max_body_bytes
        Longest body that is read.
    """
    ip, _, port = address.rpartition(':')

    async def serve(stream: SocketStream) -> None:  # noqa: WPS430
        async with stream:
            connection = _ServerConnection(
                stream=stream, max_body_bytes=max_body_bytes
            )
            try:
                await connection.serve(handle)
            except _BROKEN:
                # The peer went away or does not speak HTTP; other
                # connections go on.
                return

    listener = await anyio.create_tcp_listener(
        local_host=ip, local_port=int(port), backlog=_BACKLOG
    )
    task_status.started()
    await listener.serve(serve)


async def call_http(
    address: str,
    request: HttpRequest,
    *,
    headers: Mapping[str, str],
    timeout_s: float,
) -> HttpResponse:
    """Send a request on a new connection and return the response.

    Raises
    ------
    HttpCallError
        If there is no complete response in time.
    """
    ip, _, port = address.rpartition(':')
    try:
        with anyio.fail_after(timeout_s):
            async with await anyio.connect_tcp(ip, int(port)) as stream:
                return await _exchange(stream, address, request, headers)
    except _BROKEN as error:
        raise HttpCallError(
            f'no response of {address} to {request.method} {request.path}: '
            f'{error!r}'
        ) from error


class _BodyTooLargeError(Exception):
    """A request has a longer body than the server reads."""


class _ServerConnection:
    def __init__(self, *, stream: SocketStream, max_body_bytes: int) -> None:
        self._stream = stream
        self._max_body_bytes = max_body_bytes
        self._http = h11.Connection(h11.SERVER)

    async def serve(self, handle: HandleRequest) -> None:
        while True:
            try:
                with anyio.fail_after(_REQUEST_TIMEOUT_S):
                    request = await self._read_request()
            except h11.RemoteProtocolError:
                await self._respond(HttpResponse(status=_BAD_REQUEST))
                return
            except _BodyTooLargeError:
                await self._respond(HttpResponse(status=_TOO_LARGE))
                return
            if request is None:
                return
            await self._respond(await handle(request))
            if self._http.our_state is not h11.DONE:
                return
            if self._http.their_state is not h11.DONE:
                return
            self._http.start_next_cycle()

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
                    self._check_length(body)
                case h11.EndOfMessage() if head is not None:
                    return HttpRequest(
                        method=head.method.decode(),
                        path=head.target.decode(),
                        body=bytes(body),
                    )
                case _:
                    return None

    def _check_length(self, body: bytearray) -> None:
        if len(body) > self._max_body_bytes:
            raise _BodyTooLargeError

    async def _respond(self, response: HttpResponse) -> None:
        if self._http.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        head = h11.Response(
            status_code=response.status,
            headers=_headers(
                {'Content-Type': response.content_type}, response.body
            ),
        )
        sent = self._http.send(head) or b''
        sent += self._http.send(h11.Data(data=response.body)) or b''
        sent += self._http.send(h11.EndOfMessage()) or b''
        with anyio.fail_after(_WRITE_TIMEOUT_S):
            await self._stream.send(sent)


async def _exchange(
    stream: SocketStream,
    address: str,
    request: HttpRequest,
    headers: Mapping[str, str],
) -> HttpResponse:
    http = h11.Connection(h11.CLIENT)
    named = {
        'Host': address,
        'Connection': 'close',
        'Content-Type': _JSON,
        **headers,
    }
    head = h11.Request(
        method=request.method,
        target=request.path,
        headers=_headers(named, request.body),
    )
    sent = http.send(head) or b''
    sent += http.send(h11.Data(data=request.body)) or b''
    sent += http.send(h11.EndOfMessage()) or b''
    await stream.send(sent)
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
                raise OSError('the peer closed before it responded')


async def _next_event(
    http: h11.Connection, stream: SocketStream
) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
    while True:
        event = http.next_event()
        if event is not h11.NEED_DATA:
            return event
        try:
            received = await stream.receive(_READ_BYTES)
        except anyio.EndOfStream:
            received = b''
        http.receive_data(received)


def _headers(named: Mapping[str, str], body: bytes) -> list[tuple[str, str]]:
    return [
        *named.items(),
        ('Content-Length', str(len(body))),
    ]
