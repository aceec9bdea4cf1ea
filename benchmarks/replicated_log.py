"""Measures the replicated log: throughput, CPU time, traffic and restart.

Run it with ``python -m benchmarks.replicated_log``. All hosts run in one
process and use gRPC over loopback, so the CPU time is that of all hosts.
"""

import asyncio
import os
import platform
import statistics
import tempfile
import time
from asyncio import selector_events
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from unittest import mock

import anyio
from grpclib.server import Server
from result import Err

from lavendergate.controllers.control_node import ControlNode
from lavendergate.core.commands import (
    ChangeSettings,
    RegisterMember,
    SettingChange,
)
from lavendergate.core.consensus.messages import Envelope
from lavendergate.core.types import (
    GroupId,
    HostId,
    SettingsVersion,
    UpstreamId,
)
from lavendergate.rpc.codec import MessagePackCodec
from lavendergate.rpc.consensus_service import ClusterInitRequest, ControlHost
from lavendergate.rpc.transport import GrpcTransport
from lavendergate.storage.base import LogStorage
from lavendergate.storage.files import FileStorage

# The system's directory for temporary files may be in memory, where a sync
# costs nothing.
_DIRECTORY = Path('build')
_RUNS = 5
_COMMANDS = 500
_CALLERS = 32
_IDLE_S = 3.0
_POLL_S = 0.002
_CONCURRENT_PROPOSALS = 200
_TREE_KEYS = 500


class _UnsyncedStorage(FileStorage):
    """Naive baseline: acknowledges entries without syncing them to disk."""

    def _sync_log(self) -> None:
        return


class _CountingTransport(GrpcTransport):
    """Counts exchanges; an exchange is one request and its reply."""

    exchanges = 0

    async def exchange(
        self, address: str, envelope: Envelope, *, timeout_s: float
    ) -> Envelope | None:
        _CountingTransport.exchanges += 1
        return await super().exchange(address, envelope, timeout_s=timeout_s)


@dataclass(kw_only=True, slots=True)
class _SocketTraffic:
    written_bytes: int = 0


_traffic = _SocketTraffic()


def _count_written(original: Callable[..., Any]) -> Callable[..., Any]:
    def write(transport: object, data: bytes) -> object:
        _traffic.written_bytes += len(data)
        return original(transport, data)

    return write


@dataclass(frozen=True, kw_only=True, slots=True)
class _Usage:
    """Resources used by all hosts during a measurement.

    Parameters
    ----------
    seconds
        Elapsed time.
    written_bytes
        Bytes written to sockets.
    """

    seconds: float
    cpu_s: float
    exchanges: int
    written_bytes: int


class _Meter:
    def __init__(self) -> None:
        self._start = time.perf_counter()
        self._cpu = time.process_time()
        self._exchanges = _CountingTransport.exchanges
        self._written = _traffic.written_bytes

    def usage(self) -> _Usage:
        return _Usage(
            seconds=time.perf_counter() - self._start,
            cpu_s=time.process_time() - self._cpu,
            exchanges=_CountingTransport.exchanges - self._exchanges,
            written_bytes=_traffic.written_bytes - self._written,
        )


StorageFactory = Callable[[Path, HostId], LogStorage]


def _synced_storage(directory: Path, host_id: HostId) -> LogStorage:
    return FileStorage(directory=directory, host_id=host_id)


def _unsynced_storage(directory: Path, host_id: HostId) -> LogStorage:
    return _UnsyncedStorage(directory=directory, host_id=host_id)


@asynccontextmanager
async def _cluster(
    directory: Path, hosts: int, storage: StorageFactory
) -> AsyncIterator[ControlNode]:
    """Run a cluster of control hosts and yield its leader."""
    async with anyio.create_task_group() as tasks:
        nodes: list[ControlNode] = []
        voters: list[ControlHost] = []
        servers: list[Server] = []
        for number in range(hosts):
            host_id = HostId(f'c{number}')
            node = ControlNode(
                host_id=host_id,
                address='',
                transport=_CountingTransport(),
                storage=storage(directory / host_id, host_id),
            )
            await tasks.start(node.run)
            server = Server([node.service], codec=MessagePackCodec())
            await server.start('127.0.0.1', 0)
            assert server._server is not None
            port = server._server.sockets[0].getsockname()[1]
            voters.append(
                ControlHost(
                    host_id=host_id,
                    incarnation=node.view.identity.incarnation,
                    address=f'127.0.0.1:{port}',
                )
            )
            nodes.append(node)
            servers.append(server)
        for node in nodes:
            if not node.view.initialised:
                request = ClusterInitRequest(voters=tuple(voters))
                await node.initialise(request)
        yield await _wait_for_leader(nodes)
        for server in servers:
            server.close()
        tasks.cancel_scope.cancel()


async def _wait_for_leader(nodes: Sequence[ControlNode]) -> ControlNode:
    with anyio.fail_after(10):
        while True:
            for node in nodes:
                if node.view.is_leader and (await node.read_state()).is_ok():
                    return node
            await anyio.sleep(_POLL_S)


async def _propose_commands(leader: ControlNode, callers: int) -> None:
    numbers = iter(range(_COMMANDS))

    async def propose() -> None:
        for number in numbers:
            proposed = await leader.propose(
                RegisterMember(
                    group_id=GroupId(f'g{number % 100}'),
                    upstream_id=UpstreamId(f'u{number}'),
                )
            )
            if isinstance(proposed, Err):
                raise RuntimeError(str(proposed.err_value))

    async with anyio.create_task_group() as tasks:
        for _ in range(callers):
            tasks.start_soon(propose)


async def _measure_commands(
    hosts: int, callers: int, storage: StorageFactory
) -> _Usage:
    with tempfile.TemporaryDirectory(dir=_DIRECTORY) as directory:
        async with _cluster(Path(directory), hosts, storage) as leader:
            meter = _Meter()
            await _propose_commands(leader, callers)
            return meter.usage()


async def _measure_idle(hosts: int) -> _Usage:
    with tempfile.TemporaryDirectory(dir=_DIRECTORY) as directory:
        async with _cluster(Path(directory), hosts, _synced_storage):
            meter = _Meter()
            await anyio.sleep(_IDLE_S)
            return meter.usage()


def _settings_change(number: int) -> ChangeSettings:
    change = SettingChange(
        path=f'/region/group-{number % _TREE_KEYS}',
        key='queue.limit',
        value=number,
    )
    return ChangeSettings(
        operation_id=f'operation-{number}',
        base_version=SettingsVersion(number),
        author='benchmark',
        changes=(change,),
    )


async def _propose_changes(directory: Path, changes: int) -> None:
    async with _cluster(directory, 1, _synced_storage) as leader:

        async def propose(number: int) -> None:
            proposed = await leader.propose(_settings_change(number))
            assert proposed.is_ok(), proposed
            assert proposed.unwrap().accepted, proposed

        for first in range(0, changes, _CONCURRENT_PROPOSALS):
            async with anyio.create_task_group() as tasks:
                for number in range(first, first + _CONCURRENT_PROPOSALS):
                    tasks.start_soon(propose, number)


@dataclass(frozen=True, kw_only=True, slots=True)
class _Restart:
    load_s: float
    serving_s: float


async def _measure_restart(directory: Path, changes: int) -> _Restart:
    async with anyio.create_task_group() as tasks:
        start = time.perf_counter()
        node = ControlNode(
            host_id=HostId('c0'),
            address='',
            transport=GrpcTransport(),
            data_directory=directory / 'c0',
        )
        await tasks.start(node.run)
        load_s = time.perf_counter() - start
        await _wait_for_leader([node])
        serving_s = time.perf_counter() - start
        assert node.view.state.document.version == changes
        tasks.cancel_scope.cancel()
    return _Restart(load_s=load_s, serving_s=serving_s)


def _print_figure(name: str, values: Sequence[float], unit: str) -> None:
    median = statistics.median(values)
    print(
        f'  {name:<42} {median:10.3f} {unit:<12} '
        f'({min(values):.3f} to {max(values):.3f})'
    )


async def _run_repeatedly(
    measure: Callable[[], Awaitable[_Usage]],
) -> list[_Usage]:
    return [await measure() for _ in range(_RUNS)]


async def _report_commands(
    name: str, hosts: int, callers: int, storage: StorageFactory
) -> None:
    runs = await _run_repeatedly(
        lambda: _measure_commands(hosts, callers, storage)
    )
    print(f'{name}, {hosts} hosts, {callers} callers')
    _print_figure('commands', [_COMMANDS / run.seconds for run in runs], '1/s')
    _print_figure(
        'CPU, all hosts, per command',
        [run.cpu_s / _COMMANDS * 1000 for run in runs],
        'ms',
    )
    _print_figure(
        'exchanges per command',
        [run.exchanges / _COMMANDS for run in runs],
        '',
    )
    _print_figure(
        'bytes per command, leader in and out',
        [run.written_bytes / _COMMANDS for run in runs],
        'B',
    )


async def _report_idle(hosts: int) -> None:
    runs = await _run_repeatedly(lambda: _measure_idle(hosts))
    print(f'idle group, {hosts} hosts, {_IDLE_S:.0f} s')
    _print_figure(
        'exchanges', [run.exchanges / run.seconds for run in runs], '1/s'
    )
    _print_figure(
        'traffic, leader in and out',
        [run.written_bytes / run.seconds / 1000 for run in runs],
        'kB/s',
    )
    _print_figure(
        'CPU, all hosts',
        [run.cpu_s / run.seconds * 100 for run in runs],
        '% of a core',
    )


async def _report_restart(changes: int) -> None:
    with tempfile.TemporaryDirectory(dir=_DIRECTORY) as directory:
        path = Path(directory)
        await _propose_changes(path, changes)
        runs = [await _measure_restart(path, changes) for _ in range(_RUNS)]
    print(f'restart of a single host after {changes} settings changes')
    _print_figure('storage read', [run.load_s for run in runs], 's')
    _print_figure(
        'serving a confirmed read', [run.serving_s for run in runs], 's'
    )


async def _measure_all() -> None:
    print(
        f'python {platform.python_version()}, {os.cpu_count()} cores, '
        f'{_RUNS} runs of {_COMMANDS} commands; median (least to most)'
    )
    for hosts in (3, 5):
        for callers in (1, _CALLERS):
            await _report_commands('synced', hosts, callers, _synced_storage)
        await _report_commands(
            'naive, without sync', hosts, _CALLERS, _unsynced_storage
        )
        await _report_idle(hosts)
    for changes in (1000, 10_000):
        await _report_restart(changes)


def main() -> None:
    """Run all measurements and print them."""
    _DIRECTORY.mkdir(exist_ok=True)
    transport = vars(selector_events)['_SelectorSocketTransport']
    counting_write = mock.patch.object(
        transport, 'write', _count_written(transport.write)
    )
    with counting_write:
        asyncio.run(_measure_all())


if __name__ == '__main__':
    main()
