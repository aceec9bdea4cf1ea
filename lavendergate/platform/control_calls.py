"""HTTP calls of members and operators to a control host."""

from abc import ABC, abstractmethod
from urllib.parse import unquote

import msgspec
from result import Err

from lavendergate.core.errors import quoted
from lavendergate.core.fleet_directory import MemberEntry
from lavendergate.core.routes import RoutesVersion
from lavendergate.core.types import UpstreamId
from lavendergate.platform.departure_calls import decode_born
from lavendergate.platform.documents import decode_announcement, decode_routes
from lavendergate.rpc.http import HttpRequest, HttpResponse

MAX_BODY_BYTES = 4 * 1024 * 1024

_INSTANCES = '/instances/'

_OK = HttpResponse(status=200, body=b'{}')
_NOT_FOUND = HttpResponse(status=404, body=b'{"error":"no such call"}')
_UNAVAILABLE = HttpResponse(
    status=503, body=b'{"error":"no majority confirmed it; call again"}'
)
_BAD_REQUEST = 400
# Members read at most 4 KiB of an answer.
_MAX_PROBLEM_CHARACTERS = 1000


class ControlCalls(ABC):
    """Operations that a control host offers to members and operators."""

    @abstractmethod
    async def announce(self, entry: MemberEntry) -> bool:
        """Merge an announcement; return whether it will reach all hosts."""

    @abstractmethod
    async def remove_member(
        self, upstream_id: UpstreamId, born: int | None
    ) -> bool:
        """Remove a start of a member; return whether all hosts will know.

        Parameters
        ----------
        born
            Unix time of the start that leaves, in milliseconds; None if the
            call does not name it.
        """

    @abstractmethod
    async def publish_routes(
        self, version: RoutesVersion, content: bytes
    ) -> bool:
        """Publish a valid route table; return whether it is committed.

        Parameters
        ----------
        version
            Version of the route table.
        content
            The operator's route document.
        """

    @abstractmethod
    async def read_routes(self) -> bytes | None:
        """Return the newest route document.

        None if no majority of the control hosts confirmed that it is the
        newest.
        """


class ControlHttp:
    """HTTP handler: decodes the calls and encodes the answers.

    Parameters
    ----------
    calls
        Operations that carry out the calls.
    """

    def __init__(self, *, calls: ControlCalls) -> None:
        self._calls = calls

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Carry out one call and return its response."""
        path = request.path.partition('?')[0]
        if path.startswith(_INSTANCES):
            return await self._handle_member(
                request, path.removeprefix(_INSTANCES)
            )
        match (request.method, path):
            case ('PUT', '/config'):
                return await self._handle_publish(request.body)
            case ('GET', '/config'):
                return await self._handle_read()
            case _:
                return _NOT_FOUND

    async def _handle_member(
        self, request: HttpRequest, encoded_id: str
    ) -> HttpResponse:
        try:
            member = unquote(encoded_id, errors='strict')
        except UnicodeDecodeError:
            return _bad_request(f'the id {quoted(encoded_id)} is no UTF-8')
        match request.method:
            case 'PUT':
                entry = decode_announcement(member, request.body)
                if isinstance(entry, Err):
                    return _bad_request(entry.err_value)
                done = await self._calls.announce(entry.ok_value)
            case 'DELETE':
                done = await self._calls.remove_member(
                    UpstreamId(member), decode_born(request.body)
                )
            case _:
                return _NOT_FOUND
        return _OK if done else _UNAVAILABLE

    async def _handle_publish(self, content: bytes) -> HttpResponse:
        table = decode_routes(content)
        if isinstance(table, Err):
            return _bad_request(table.err_value)
        committed = await self._calls.publish_routes(
            table.ok_value.version, content
        )
        return _OK if committed else _UNAVAILABLE

    async def _handle_read(self) -> HttpResponse:
        content = await self._calls.read_routes()
        if content is None:
            return _UNAVAILABLE
        return HttpResponse(body=content)


def _bad_request(problem: str) -> HttpResponse:
    body = msgspec.json.encode({'error': problem[:_MAX_PROBLEM_CHARACTERS]})
    return HttpResponse(status=_BAD_REQUEST, body=body)
