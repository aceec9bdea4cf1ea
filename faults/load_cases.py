"""More callers, slow readers and long lines than a proxy can hold."""

import asyncio
import contextlib
import os
import time
from collections import Counter
from collections.abc import Awaitable, Callable

from kit.clients import (
    LostError,
    Session,
    configuration,
    publish,
    wait_until_served,
)
from kit.members import Platform, Service

from faults.processes import Fleet, Program, Record

_PROXIES = 2
_CALLERS = 12
_WATCH_S = 10.0
_WARM_UP_S = 2.0
_PAUSE_S = 0.05
# Each caller sends a statement in this interval, well below what the members
# can answer; one that is answered later than the objective doesn't count.
_INTERVAL_S = 0.25
_OBJECTIVE_S = 1.0
_MIN_GOODPUT = 0.98
# Descriptors of each proxy, and the callers that it then serves.
_DESCRIPTORS = 264
_CALLER_LIMIT = 102
# Descriptors that must stay free for files.
_FILES = 66
_SLOW_READERS = 60
_PIPELINED = 200
_LONG_LINES = 40
_LONG_LINE_BYTES = 1_000_000
_DATABASE = 'own-svc1'

Disturb = Callable[[Program, contextlib.AsyncExitStack], Awaitable[None]]


class _SmallFleet(Fleet):
    """A fleet whose processes may open few descriptors.

    Attributes
    ----------
    peaks
        Largest numbers of open descriptors that were seen, by proxy.
    """

    peaks: Counter[str]

    async def count_descriptors(self) -> None:
        """Count the open descriptors until cancelled."""
        while True:
            for proxy in self.proxies:
                number = len(os.listdir(f'/proc/{proxy.pid}/fd'))
                self.peaks[proxy.name] = max(self.peaks[proxy.name], number)
            await asyncio.sleep(_PAUSE_S)

    def settings_of(self, program: Program, is_first_start: bool) -> str:
        settings = str(super().settings_of(program, is_first_start))
        lines = [
            f'maxFds = {_DESCRIPTORS}' if line.startswith('maxFds') else line
            for line in settings.splitlines()
        ]
        if f'maxFds = {_DESCRIPTORS}' not in lines:
            raise ValueError('the settings of the fleet hold no maxFds')
        return '\n'.join(lines)


async def _open(
    program: Program, connections: contextlib.AsyncExitStack, content: bytes
) -> asyncio.StreamReader | None:
    """Open a connection, send bytes, and keep it open."""
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(*program.front), 1
        )
    except (OSError, TimeoutError):
        return None
    connections.callback(_abort, reader, writer)
    writer.write(content)
    return reader


def _abort(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    # Without this reference to the reader, the connection would be closed.
    assert reader is not None
    writer.transport.abort()


def idle_callers(number: int) -> Disturb:
    """Callers that set a value, which no member sees, and stay idle."""

    async def disturb(
        program: Program, connections: contextlib.AsyncExitStack
    ) -> None:
        for _ in range(number):
            await _open(
                program,
                connections,
                f'START {_DATABASE} crowd\r\nQUERY c1 SET a b\r\n'.encode(),
            )
            await asyncio.sleep(_WATCH_S / number / 5)

    return disturb


async def slow_readers(
    program: Program, connections: contextlib.AsyncExitStack
) -> None:
    """Callers that send statements without reading the answers."""
    content = b''.join(
        f'QUERY s{number} SET a b\r\n'.encode() for number in range(_PIPELINED)
    )
    for _ in range(_SLOW_READERS):
        reader = await _open(
            program,
            connections,
            f'START {_DATABASE} slow\r\n'.encode() + content,
        )
        if reader is not None:
            # StreamReader stops reading at twice this limit.
            reader._limit = 0  # type: ignore[attr-defined]


async def long_lines(
    program: Program, connections: contextlib.AsyncExitStack
) -> None:
    """Callers that send lines of 1 MB, some without their end."""
    line = b'QUERY l1 SET a ' + b'x' * _LONG_LINE_BYTES
    for number in range(_LONG_LINES):
        end = b'\r\n' if number % 2 else b''
        await _open(
            program,
            connections,
            f'START {_DATABASE} long\r\n'.encode() + line + end,
        )


LOAD_CASES: dict[str, Disturb] = {
    'as many callers as the limit': idle_callers(_CALLER_LIMIT),
    'twice as many callers as the limit': idle_callers(2 * _CALLER_LIMIT),
    'callers that read no answers': slow_readers,
    'lines of 1 MB': long_lines,
}


async def _call_repeatedly(
    fleet: Fleet, record: Record, number: int, counts: Counter[str]
) -> None:
    """Send a statement in each interval, also if earlier ones were late."""
    proxy = fleet.proxies[number % _PROXIES]
    due = time.monotonic()
    while True:
        session = Session(record, f'caller-{number}')
        try:
            await session.start(proxy.front, _DATABASE)
            while True:
                due += _INTERVAL_S
                await asyncio.sleep(max(0, due - time.monotonic()))
                answer = await session.query(f'READ item-{number}')
                late = time.monotonic() - due > _OBJECTIVE_S
                counts[answer.code or ('late' if late else 'done')] += 1
        except LostError:
            counts['no answer'] += 1
            await asyncio.sleep(_PAUSE_S)


def _memory_mb(program: Program) -> int:
    with open(f'/proc/{program.pid}/status', encoding='utf-8') as status:
        for line in status:
            if line.startswith('VmHWM'):
                return int(line.split()[1]) // 1000
    return 0


async def play_load_case(name: str, record: Record) -> str:
    """Play a load beside callers; return what was seen."""
    platform = Platform(record)
    fleet = _SmallFleet(record, await platform.start(), proxies=_PROXIES)
    service = Service(record, 'svc1')
    fleet.peaks = Counter()
    platform.services[service.name] = service
    await service.start(fleet)
    counts: Counter[str] = Counter()
    tasks: list[asyncio.Task[None]] = []
    try:
        fleet.start()
        tasks.append(asyncio.create_task(platform.send_heartbeats(fleet)))
        await publish(fleet, configuration(1, [service]))
        await wait_until_served(fleet, [_DATABASE])
        tasks.extend(
            asyncio.create_task(_call_repeatedly(fleet, record, number, counts))
            for number in range(_CALLERS)
        )
        await asyncio.sleep(_WARM_UP_S)
        quiet = await _watch(counts, None, fleet)
        loaded = await _watch(counts, LOAD_CASES[name], fleet)
        descriptors = max(fleet.peaks.values())
        ends = {p.name: len(p.own_ends) for p in fleet.programs if p.own_ends}
        peak_mb = max(_memory_mb(proxy) for proxy in fleet.proxies)
        seen = (
            f'ends {ends}; done {loaded["done"]} beside {quiet["done"]} '
            f'without; callers {dict(loaded)}; peak {peak_mb} MB, '
            f'{descriptors} descriptors'
        )
        if descriptors > _DESCRIPTORS - _FILES:
            return seen
        if ends or loaded['done'] < _MIN_GOODPUT * quiet['done']:
            return seen
        print(f'         {name}: {seen}', flush=True)
        return ''
    finally:
        for task in tasks:
            task.cancel()
        await fleet.stop()


async def _watch(
    counts: Counter[str], disturb: Disturb | None, fleet: _SmallFleet
) -> Counter[str]:
    """Return what the callers got within a time."""
    before = Counter(counts)
    until = time.monotonic() + _WATCH_S
    counting = asyncio.create_task(fleet.count_descriptors())
    try:
        async with contextlib.AsyncExitStack() as connections:
            if disturb is not None:
                await asyncio.gather(
                    *(disturb(proxy, connections) for proxy in fleet.proxies)
                )
            await asyncio.sleep(max(0, until - time.monotonic()))
            return counts - before
    finally:
        counting.cancel()
