"""Cost of the proxy: statements per second, added latency, memory.

Starts the demo's fleet, three hosts with both roles and nine members, and
runs point reads on one group from this process with aiomysql, first directly
on a member, then through a proxy.
"""

import argparse
import asyncio
import os
import statistics
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import aiomysql

from demo.processes import (
    CALLER_PASSWORD,
    MEMBER_ACCOUNT,
    MEMBER_PASSWORD,
    Fleet,
    make_fleet,
)

GROUP = 'glasdaten-1'
_CLOCK_TICKS = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
_MIB = 1024 * 1024
_MS_PER_S = 1000
_START_TIMEOUT_S = 30
_HINT = '/* lavendergate max_age_ms=2000 */ '


@dataclass(frozen=True, kw_only=True, slots=True)
class Sample:
    """Rate, latencies and processor use of one run.

    Parameters
    ----------
    per_second
        Statements per second.
    cpu_share
        Processor time of the measured process per elapsed second, in cores.
    """

    per_second: float
    median_ms: float
    p99_ms: float
    cpu_share: float


def cpu_seconds(pid: int) -> float:
    """Return the user and system time of a process, in seconds."""
    fields = Path(f'/proc/{pid}/stat').read_text().rsplit(')', 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS


def resident_mib(pid: int) -> float:
    """Return the resident memory of a process, in MiB."""
    pages = int(Path(f'/proc/{pid}/statm').read_text().split()[1])
    return pages * _PAGE_BYTES / _MIB


async def connect(port: int, user: str, password: str) -> aiomysql.Connection:
    """Open a connection of the load generator."""
    return await aiomysql.connect(
        host='127.0.0.1',
        port=port,
        user=user,
        password=password,
        db=GROUP,
        autocommit=True,
    )


async def run_reads(
    port: int,
    user: str,
    password: str,
    *,
    connections: int,
    seconds: float,
    pid: int,
    rate: float = 0,
) -> Sample:
    """Run point reads on some connections.

    Parameters
    ----------
    pid
        Process whose processor time is measured.
    rate
        Statements per second on all connections together; 0 means that each
        connection sends the next statement as soon as it has an answer.
    """
    open_connections = [
        await connect(port, user, password) for _ in range(connections)
    ]
    latencies: list[float] = []
    cpu_before = cpu_seconds(pid)
    started = time.perf_counter()

    async def read_repeatedly(connection: aiomysql.Connection) -> None:
        async with connection.cursor() as cursor:
            while time.perf_counter() - started < seconds:
                begun = time.perf_counter()
                await cursor.execute(_HINT + 'SELECT id FROM cost WHERE id = 7')
                await cursor.fetchall()
                latencies.append(time.perf_counter() - begun)
                if rate:
                    pause = connections / rate - latencies[-1]
                    await asyncio.sleep(max(pause, 0))

    await asyncio.gather(
        *(read_repeatedly(connection) for connection in open_connections)
    )
    elapsed = time.perf_counter() - started
    cpu = cpu_seconds(pid) - cpu_before
    for connection in open_connections:
        connection.close()
    ordered = sorted(latencies)
    return Sample(
        per_second=len(ordered) / elapsed,
        median_ms=statistics.median(ordered) * _MS_PER_S,
        p99_ms=ordered[int(len(ordered) * 0.99)] * _MS_PER_S,
        cpu_share=cpu / elapsed,
    )


async def initialise(fleet: Fleet) -> None:
    """Initialise the control hosts and create the table; retry until ready."""
    deadline = time.monotonic() + _START_TIMEOUT_S
    while True:
        try:
            fleet.initialize_control()
            connection = await connect(
                fleet.daemons[0].port, 'tablet', CALLER_PASSWORD
            )
            async with connection.cursor() as cursor:
                await cursor.execute(
                    'CREATE TABLE IF NOT EXISTS cost (id BIGINT PRIMARY KEY)'
                )
                await cursor.execute('REPLACE INTO cost VALUES (7)')
            connection.close()
            return
        except (aiomysql.MySQLError, OSError):
            if time.monotonic() > deadline:
                raise
            await asyncio.sleep(0.2)


def print_samples(name: str, samples: list[Sample]) -> None:
    """Print the medians of the samples and the range of the rate."""
    rates = [sample.per_second for sample in samples]
    cpu = statistics.median(sample.cpu_share for sample in samples)
    rate = statistics.median(rates)
    print(
        f'{name:28} {rate:8.0f}/s ({min(rates):.0f} to {max(rates):.0f}), '
        f'p50 {statistics.median(s.median_ms for s in samples):6.2f} ms, '
        f'p99 {statistics.median(s.p99_ms for s in samples):6.2f} ms, '
        f'{cpu:.2f} cores, {rate / max(cpu, 0.01):.0f} statements/s a core'
    )


async def measure_idle_memory(fleet: Fleet, pid: int, count: int) -> None:
    """Print the memory that idle callers' connections take in the proxy."""
    before = resident_mib(pid)
    open_connections = []
    for start in range(0, count, 50):
        open_connections += await asyncio.gather(
            *(
                connect(fleet.daemons[0].port, 'tablet', CALLER_PASSWORD)
                for _ in range(start, min(start + 50, count))
            )
        )
    after = resident_mib(pid)
    print(
        f'{count} idle callers: {before:.1f} MiB before, {after:.1f} MiB '
        f'after, {(after - before) * 1024 / count:.1f} KiB a connection'
    )
    for connection in open_connections:
        connection.close()


async def measure(runs: int, seconds: float, callers: int) -> None:
    """Run all measurements."""
    fleet = make_fleet(Path(tempfile.mkdtemp()))
    # With a smaller limit the proxies' shares leave no connections for the
    # direct load.
    fleet.connection_limit = 40
    fleet.start()
    try:
        await initialise(fleet)
        proxy = fleet.processes[fleet.daemons[0].host_id]
        member = next(
            candidate for candidate in fleet.members if candidate.group == GROUP
        )
        member_pid = fleet.processes[member.upstream_id].pid
        print(f'{runs} runs of {seconds} s, point reads on 8 connections')
        direct, full_load, half_load = [], [], []
        for _ in range(runs):
            direct.append(
                await run_reads(
                    member.port,
                    MEMBER_ACCOUNT,
                    MEMBER_PASSWORD,
                    connections=8,
                    seconds=seconds,
                    pid=member_pid,
                )
            )
            options = {
                'port': fleet.daemons[0].port,
                'user': 'planner',
                'password': CALLER_PASSWORD,
                'connections': 8,
                'seconds': seconds,
                'pid': proxy.pid,
            }
            full_load.append(await run_reads(**options))  # type: ignore[arg-type]
            half_load.append(
                await run_reads(**options, rate=full_load[-1].per_second / 2)  # type: ignore[arg-type]
            )
        print_samples('direct, one member', direct)
        print_samples('through the proxy', full_load)
        print_samples('through the proxy, half load', half_load)
        await measure_idle_memory(fleet, proxy.pid, callers)
    finally:
        fleet.stop()


def main() -> None:
    """Run from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--runs', type=int, default=5)
    parser.add_argument('--seconds', type=float, default=3)
    parser.add_argument('--callers', type=int, default=2200)
    arguments = parser.parse_args()
    asyncio.run(measure(arguments.runs, arguments.seconds, arguments.callers))


if __name__ == '__main__':
    main()
