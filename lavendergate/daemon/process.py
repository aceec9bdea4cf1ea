"""One daemon process: its roles, its gRPC server and its shutdown."""

import secrets
import signal
from collections.abc import AsyncIterator
from functools import partial
from pathlib import Path

import anyio
from anyio.abc import TaskGroup
from grpclib.server import Server

from lavendergate.core.types import HostId
from lavendergate.daemon.context import ProcessContext
from lavendergate.daemon.control import ControlRole
from lavendergate.daemon.drain import Drain
from lavendergate.daemon.health import HealthServer
from lavendergate.daemon.options import DaemonOptions
from lavendergate.daemon.proxy import ProxyRole
from lavendergate.observability.file_log import open_event_log
from lavendergate.observability.metrics import (
    Metrics,
    NoMetrics,
    StatsdMetrics,
)
from lavendergate.observability.process_clock import ProcessClock
from lavendergate.observability.process_events import ProcessEvent
from lavendergate.rpc.codec import MessagePackCodec
from lavendergate.rpc.methods import ANNOUNCE
from lavendergate.rpc.service import UnaryService
from lavendergate.rpc.tls import CertificateFiles, TlsContexts
from lavendergate.supervision.boundary import Boundary

START_ID_BYTES = 8
CERTIFICATE_CHECK_INTERVAL_S = 1.0
SOFTWARE_VERSION = '0.1.0'


async def run_daemon(options: DaemonOptions) -> None:
    """Run the roles of a host until SIGTERM or SIGINT."""
    clock = ProcessClock()
    host_id = HostId(options.host_id)
    events = open_event_log(
        host=host_id, clock=clock, data_directory=Path(options.data_directory)
    )
    context = ProcessContext(
        options=options,
        start_id=secrets.token_hex(START_ID_BYTES),
        clock=clock,
        events=events,
        boundary=Boundary(events=events),
        metrics=_open_metrics(options),
        caller_tls=_load_tls_contexts(options.tls_certificate, options.tls_key),
        peer_tls=_load_tls_contexts(
            options.peer_certificate, options.peer_key, options.peer_authority
        ),
    )
    context.events.emit(
        ProcessEvent.process_started,
        software_version=SOFTWARE_VERSION,
        roles=','.join(sorted(options.roles)),
        incarnation=context.start_id,
    )
    async with anyio.create_task_group() as tasks:
        await _run_roles(context, tasks)
        tasks.cancel_scope.cancel()
    context.events.emit(ProcessEvent.process_stopped)


async def _run_roles(context: ProcessContext, tasks: TaskGroup) -> None:
    options = context.options
    services: list[UnaryService] = []
    proxy: ProxyRole | None = None
    if 'control' in options.roles:
        control = ControlRole(context=context, tasks=tasks)
        await control.start()
        services.extend(control.services)
    if 'proxy' in options.roles:
        proxy = ProxyRole(context=context, tasks=tasks)
        if not services:
            services.append(
                UnaryService(implementations={ANNOUNCE: proxy.relay.announce})
            )
    server = Server(services, codec=MessagePackCodec())
    host, _, port = options.rpc_listen.rpartition(':')
    await server.start(host, int(port), ssl=context.peer_server)
    tasks.start_soon(
        context.boundary.keep_running,
        'certificates',
        partial(_reload_certificates, context),
    )
    if proxy is not None:
        await proxy.start()
    if options.health_listen is not None:
        _start_health(options.health_listen, proxy, tasks, context.boundary)
    try:
        await _wait_for_stop(context, proxy)
    finally:
        server.close()


def _start_health(
    address: str,
    proxy: ProxyRole | None,
    tasks: TaskGroup,
    boundary: Boundary,
) -> None:
    def is_ready() -> bool:  # noqa: WPS430
        return proxy is None or proxy.is_ready

    host, _, port = address.rpartition(':')
    health = HealthServer(is_ready=is_ready)
    tasks.start_soon(
        boundary.keep_running, 'health', partial(health.run, host, int(port))
    )


def _open_metrics(options: DaemonOptions) -> Metrics:
    if options.statsd is None:
        return NoMetrics()
    ip, _, port = options.statsd.rpartition(':')
    return StatsdMetrics(ip=ip, port=int(port), host=options.host_id)


def _load_tls_contexts(
    chain: Path | None, key: Path | None, authority: Path | None = None
) -> TlsContexts | None:
    if chain is None or key is None:
        return None
    return TlsContexts(
        certificate=CertificateFiles(chain=chain, key=key, authority=authority)
    )


async def _reload_certificates(context: ProcessContext) -> None:
    while True:
        await anyio.sleep(CERTIFICATE_CHECK_INTERVAL_S)
        context.reload_certificates()


async def _wait_for_stop(
    context: ProcessContext, proxy: ProxyRole | None
) -> None:
    """Wait for a stop signal, then drain; a second signal ends the drain."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        await anext(received)
        if proxy is None:
            return
        async with anyio.create_task_group() as tasks:
            drain = Drain(context=context, proxy=proxy)
            tasks.start_soon(_end_at_next_signal, received, drain)
            await drain.run()
            tasks.cancel_scope.cancel()


async def _end_at_next_signal(
    received: AsyncIterator[signal.Signals], drain: Drain
) -> None:
    await anext(received)
    drain.end_now()
