"""Calls of members and operators to a control host."""

from abc import ABC, abstractmethod
from urllib.parse import unquote

from result import Err

from lavendergate.core.fleet_directory import MemberEntry
from lavendergate.core.routes import RoutesVersion
from lavendergate.core.types import UpstreamId
from lavendergate.platform.documents import decode_announcement, decode_routes
from lavendergate.rpc.http import HttpRequest, HttpResponse

MAX_BODY_BYTES = 4 * 1024 * 1024

_INSTANCES = '/instances/'

_DONE = HttpResponse(status=200, body=b'{}')
_NOT_FOUND = HttpResponse(status=404, body=b'{"error":"no such call"}')
_UNAVAILABLE = HttpResponse(
    status=503, body=b'{"error":"no majority confirmed it; call again"}'
)
_BAD_REQUEST = 400


class ControlCalls(ABC):
    """What a control host does for members and operators."""

    @abstractmethod
    async def announce(self, entry: MemberEntry) -> bool:
        """Take an announcement; return whether it will reach all hosts."""

    @abstractmethod
    async def depart(self, upstream_id: UpstreamId) -> bool:
        """Take a departure; return whether it will reach all hosts."""

    @abstractmethod
    async def publish(self, version: RoutesVersion, content: bytes) -> bool:
        """Publish a valid route table; return whether it is accepted."""

    @abstractmethod
    async def published(self) -> bytes | None:
        """Return the newest route table; None if that is not certain."""


class ControlHttp:
    """Decodes the calls and encodes the answers.

    Parameters
    ----------
    calls
        What to do for each call.
    """

    def __init__(self, *, calls: ControlCalls) -> None:
        self._calls = calls

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one call."""
        path = request.path.partition('?')[0]
        if path.startswith(_INSTANCES):
            member = unquote(path.removeprefix(_INSTANCES))
            return await self._handle_member(request, member)
        match (request.method, path):
            case ('PUT', '/config'):
                return await self._publish(request.body)
            case ('GET', '/config'):
                return await self._read()
            case _:
                return _NOT_FOUND

    async def _handle_member(
        self, request: HttpRequest, member: str
    ) -> HttpResponse:
        match request.method:
            case 'PUT':
                entry = decode_announcement(member, request.body)
                if isinstance(entry, Err):
                    return _refused(entry.err_value)
                done = await self._calls.announce(entry.ok_value)
            case 'DELETE':
                done = await self._calls.depart(UpstreamId(member))
            case _:
                return _NOT_FOUND
        return _DONE if done else _UNAVAILABLE

    async def _publish(self, content: bytes) -> HttpResponse:
        table = decode_routes(content)
        if isinstance(table, Err):
            return _refused(table.err_value)
        accepted = await self._calls.publish(table.ok_value.version, content)
        return _DONE if accepted else _UNAVAILABLE

    async def _read(self) -> HttpResponse:
        content = await self._calls.published()
        if content is None:
            return _UNAVAILABLE
        return HttpResponse(body=content)


def _refused(problem: str) -> HttpResponse:
    text = problem.replace('\\', ' ').replace('"', "'")
    return HttpResponse(
        status=_BAD_REQUEST, body=f'{{"error":"{text}"}}'.encode()
    )
