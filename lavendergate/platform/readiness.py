"""HTTP endpoints for the platform: readiness check and metrics."""

from collections.abc import Callable

import anyio
from anyio.abc import TaskStatus

from lavendergate.rpc.http import HttpRequest, HttpResponse, serve_http
from lavendergate.supervision.boundary import Boundary
from lavendergate.supervision.connection_gate import ConnectionGate

_READY = HttpResponse(status=200)
_NOT_READY = HttpResponse(status=503)
_NOT_FOUND = HttpResponse(status=404)
_MAX_BODY_BYTES = 1024

# Port and path as configured in deploy/system.toml.
METRICS_PORT = 9464
_METRICS_PATH = '/metrics'


async def serve_readiness(
    address: str,
    is_ready: Callable[[], bool],
    *,
    boundary: Boundary,
    gate: ConnectionGate | None = None,
    task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Answer the platform's readiness checks until cancelled.

    Parameters
    ----------
    address
        Address to listen on, ``ip:port``.
    is_ready
        Returns whether callers may be sent to this host.
    boundary
        Receives unexpected errors.
    gate
        Bounds the connections; None if they are not bounded.
    """

    async def handle(request: HttpRequest) -> HttpResponse:  # noqa: WPS430
        if request.path != '/ready':
            return _NOT_FOUND
        return _READY if is_ready() else _NOT_READY

    await serve_http(
        address,
        handle,
        max_body_bytes=_MAX_BODY_BYTES,
        boundary=boundary,
        gate=gate,
        task_status=task_status,
    )


async def serve_metrics(
    ip: str,
    render: Callable[[], bytes],
    *,
    boundary: Boundary,
    gate: ConnectionGate | None = None,
    task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve metrics on `METRICS_PORT` until cancelled.

    Parameters
    ----------
    ip
        IP address of the host.
    render
        Returns all metrics in the text exposition format.
    boundary
        Receives unexpected errors.
    gate
        Bounds the connections; None if they are not bounded.
    """

    async def handle(request: HttpRequest) -> HttpResponse:  # noqa: WPS430
        if request.path != _METRICS_PATH:
            return _NOT_FOUND
        return HttpResponse(body=render(), content_type='text/plain')

    await serve_http(
        f'{ip}:{METRICS_PORT}',
        handle,
        max_body_bytes=_MAX_BODY_BYTES,
        boundary=boundary,
        gate=gate,
        task_status=task_status,
    )
