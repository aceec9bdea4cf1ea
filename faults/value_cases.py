"""Odd values sent to running processes while callers are served."""

import asyncio
import contextlib
import json
import time
from collections import Counter
from collections.abc import Awaitable, Callable

from kit import http
from kit.clients import (
    LostError,
    Session,
    configuration,
    publish,
    wait_until_served,
)
from kit.members import Platform, Service

from faults.processes import Fleet, Record

_PROXIES = 2
_CALLERS = 12
_WATCH_S = 6.0
_PAUSE_S = 0.05
_NESTING = 3000
_WIDE = 10**21
_NESTED_JSON = b'[' * _NESTING + b']' * _NESTING
# A request frame in MessagePack with one field more than a proxy reads, which
# holds arrays of one element.
_NESTED_FRAME = b'\x95\x01\xc0\xc0\xc0' + b'\x91' * _NESTING + b'\xc0'

Send = Callable[[Fleet, Service], Awaitable[object]]


def announcement(**fields: object) -> Send:
    """An entry of another writer, with some odd fields; None drops one."""

    async def send(fleet: Fleet, service: Service) -> object:
        entry: dict[str, object] = {
            'service': service.name,
            'address': f'{fleet.ip()}:8080',
            'zone': 'zone-a',
            'version': 'v1',
            'capacity': 2,
            'state': 'ready',
            'warmupLeftMs': 0,
            'dbRole': 'replica',
            'sequence': 1,
            'born': int(time.time() * 1000),
            **fields,
        }
        kept = {
            name: value for name, value in entry.items() if value is not None
        }
        return await _put(fleet, '/instances/i-0dd', json.dumps(kept).encode())

    return send


def nested_body(path: str, field: str) -> Send:
    """A document with a deeply nested field that is not read."""

    async def send(fleet: Fleet, service: Service) -> object:
        document = json.loads(configuration(9, [service]))
        body = json.dumps(document)[:-1].encode()
        return await _put(
            fleet, path, body + f',"{field}":'.encode() + _NESTED_JSON + b'}'
        )

    return send


async def wide_version(fleet: Fleet, service: Service) -> object:
    """A configuration whose version exceeds 64 bits."""
    return await _put(fleet, '/config', configuration(_WIDE, [service]))


async def nested_frame(fleet: Fleet, service: Service) -> object:
    """A frame with nested arrays on the port between proxies."""
    internal = fleet.ports['internal']
    for proxy in fleet.proxies:
        for port in range(internal, internal + 3):
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(proxy.ip, port)
                length = len(_NESTED_FRAME).to_bytes(4)
                writer.write(length + _NESTED_FRAME)
                await writer.drain()
    return 'sent'


async def _put(fleet: Fleet, path: str, body: bytes) -> object:
    return [
        (await http.call(host.control, 'PUT', path, body) or ('no answer',))[0]
        for host in fleet.control
    ]


VALUE_CASES: dict[str, Send] = {
    'nested brackets in a configuration': nested_body('/config', 'odd'),
    'nested brackets in an announcement': nested_body('/instances/i-0dd', 'x'),
    'version of 22 digits': wide_version,
    'sequence of 22 digits': announcement(sequence=_WIDE),
    'born of 22 digits': announcement(born=_WIDE),
    'capacity of 22 digits': announcement(capacity=_WIDE),
    'address with port 70000': announcement(address='127.0.0.9:70000'),
    'address that is a name': announcement(address='localhost:8080'),
    'nested arrays between proxies': nested_frame,
}


async def _call_repeatedly(
    fleet: Fleet, record: Record, number: int, counts: Counter[str]
) -> None:
    proxy = fleet.proxies[number % _PROXIES]
    while True:
        session = Session(record, f'caller-{number}')
        try:
            await session.start(proxy.front, 'own-svc1')
            while True:
                answer = await session.query(f'READ item-{number}')
                counts[answer.code or 'done'] += 1
                await asyncio.sleep(_PAUSE_S)
        except LostError:
            counts['no answer'] += 1
            await asyncio.sleep(_PAUSE_S)


async def play_value_case(name: str, record: Record) -> str:
    """Send one odd value; return what was seen."""
    platform = Platform(record)
    fleet = Fleet(record, await platform.start(), proxies=_PROXIES)
    service = Service(record, 'svc1')
    platform.services[service.name] = service
    await service.start(fleet)
    counts: Counter[str] = Counter()
    tasks: list[asyncio.Task[None]] = []
    try:
        fleet.start()
        tasks.append(asyncio.create_task(platform.send_heartbeats(fleet)))
        await publish(fleet, configuration(1, [service]))
        await wait_until_served(fleet, ['own-svc1'])
        tasks.extend(
            asyncio.create_task(_call_repeatedly(fleet, record, number, counts))
            for number in range(_CALLERS)
        )
        await asyncio.sleep(1)
        answers = await VALUE_CASES[name](fleet, service)
        await asyncio.sleep(_WATCH_S)
        ends = {p.name: len(p.own_ends) for p in fleet.programs if p.own_ends}
        if not ends and not counts['no answer']:
            return ''
        return f'ends {ends}; answered {answers}; callers {dict(counts)}'
    finally:
        for task in tasks:
            task.cancel()
        await fleet.stop()
