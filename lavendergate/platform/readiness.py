"""The platform's questions whether a host takes callers, and how it fares."""

from collections.abc import Callable

import anyio
from anyio.abc import TaskStatus

from lavendergate.rpc.http import HttpRequest, HttpResponse, serve_http

_READY = HttpResponse(status=200)
_NOT_READY = HttpResponse(status=503)
_NOT_FOUND = HttpResponse(status=404)
_MAX_BODY_BYTES = 1024

# Port and path that deploy/system.toml names.
METRICS_PORT = 9464
_METRICS_PATH = '/metrics'


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


async def serve_metrics(
    ip: str,
    text: Callable[[], bytes],
    *,
    task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve metrics until cancelled.

    Parameters
    ----------
    ip
        Address of the host.
    text
        Returns all metrics in text form.
    """

    async def handle(request: HttpRequest) -> HttpResponse:  # noqa: WPS430
        if request.path != _METRICS_PATH:
            return _NOT_FOUND
        return HttpResponse(body=text(), content_type='text/plain')

    await serve_http(
        f'{ip}:{METRICS_PORT}',
        handle,
        max_body_bytes=_MAX_BODY_BYTES,
        task_status=task_status,
    )
