"""The platform's question whether a host takes callers."""

from collections.abc import Callable

import anyio
from anyio.abc import TaskStatus

from lavendergate.rpc.http import HttpRequest, HttpResponse, serve_http

_READY = HttpResponse(status=200)
_NOT_READY = HttpResponse(status=503)
_NOT_FOUND = HttpResponse(status=404)
_MAX_BODY_BYTES = 1024


async def serve_readiness(
    address: str,
    is_ready: Callable[[], bool],
    *,
    task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Answer the platform until cancelled.

    Parameters
    ----------
    address
        Where to listen, ``ip:port``.
    is_ready
        Tells whether callers may be sent to this host.
    """

    async def handle(request: HttpRequest) -> HttpResponse:  # noqa: WPS430
        if request.path != '/ready':
            return _NOT_FOUND
        return _READY if is_ready() else _NOT_READY

    await serve_http(
        address,
        handle,
        max_body_bytes=_MAX_BODY_BYTES,
        task_status=task_status,
    )
