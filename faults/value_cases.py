"""Odd values sent to running processes while callers are served."""

import asyncio
import contextlib
import json
import math
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
_BAD_REQUEST = 400
_ATTEMPTS = 3
_LONG_TEXT = 'z' * 1_000_000
_LEAST_DONE = 0.98
_WIDE = 10**21
_NESTED_JSON = b'[' * _NESTING + b']' * _NESTING
# A request frame in MessagePack with one field more than a proxy reads, which
# holds arrays of one element.
_NESTED_FRAME = b'\x95\x01\xc0\xc0\xc0' + b'\x91' * _NESTING + b'\xc0'

Send = Callable[[Fleet, Service], Awaitable[object]]


def announcement(
    path: str = '/instances/i-0dd',
    is_at_primary: bool = False,
    **fields: object,
) -> Send:
    """An entry of another writer, with some odd fields; None drops one.

    Parameters
    ----------
    is_at_primary
        Whether it has the address of the primary.
    """

    async def send(fleet: Fleet, service: Service) -> object:
        entry: dict[str, object] = {
            'service': service.name,
            'address': (
                service.primary.address
                if is_at_primary
                else f'{fleet.ip()}:8080'
            ),
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
        return await _put(fleet, path, json.dumps(kept).encode())

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


async def unreadable_byte(fleet: Fleet, service: Service) -> object:
    """A configuration with a byte that is no UTF-8, in an unread field."""
    body = configuration(9, [service])
    return await _put(fleet, '/config', body[:-1] + b',"odd":"\xff"}')


async def unnamed_service(fleet: Fleet, service: Service) -> object:
    """An entry of a service that no configuration names; it may be accepted."""
    await announcement(service='elsewhere', dbRole='primary')(fleet, service)
    return 'sent'


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
    """Return what each control host answers instead of a refusal."""
    answers = [
        await _answer(host.control, path, body) for host in fleet.control
    ]
    return [answer for answer in answers if answer != _BAD_REQUEST]


async def _answer(address: tuple[str, int], path: str, body: bytes) -> object:
    """Return the status; a call without an answer is sent again, as usual."""
    pauses: list[float] = []
    for _ in range(_ATTEMPTS):
        began = time.monotonic()
        answer = await http.call(address, 'PUT', path, body)
        if answer is not None:
            return answer[0]
        pauses.append(round(time.monotonic() - began, 2))
    return f'no answer after {pauses} s'


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
    'announcement without a zone at the primary': announcement(
        zone=None, is_at_primary=True
    ),
    'announcement with an empty zone at the primary': announcement(
        zone='', is_at_primary=True
    ),
    'announcement without five fields': announcement(
        zone=None, version=None, capacity=None, warmupLeftMs=None, born=None
    ),
    'announcement with a zone of 1 MB': announcement(zone=_LONG_TEXT),
    'announcement with a zone that is a number': announcement(zone=5),
    'announcement with a negative sequence': announcement(sequence=-1),
    'announcement with a negative start': announcement(born=-1),
    'announcement with a capacity of 0': announcement(capacity=0),
    'announcement with a capacity of NaN': announcement(capacity=math.nan),
    'announcement with an infinite start': announcement(born=math.inf),
    'announcement with an unknown state': announcement(state='resting'),
    'announcement with an unknown role': announcement(dbRole='witness'),
    'announcement of an unknown service': unnamed_service,
    'announcement of a service with a line end': announcement(
        service='svc1\r\nQUERY - DEMOTE 9', is_at_primary=True
    ),
    'id with bytes that are no UTF-8': announcement(
        '/instances/i%FF%00', is_at_primary=True
    ),
    'id that is empty': announcement('/instances/', is_at_primary=True),
    'id of 8,000 characters': announcement(
        f'/instances/{"i" * 8000}', is_at_primary=True
    ),
    'configuration with an unreadable byte': unreadable_byte,
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
        done = counts['done'] / max(1, counts.total())
        # A refusal leaves no host that answered otherwise.
        is_refused = answers in ([], 'sent')
        is_served = done >= _LEAST_DONE and not counts['no answer']
        if not ends and is_refused and is_served:
            return ''
        return f'ends {ends}; answered {answers}; callers {dict(counts)}'
    finally:
        for task in tasks:
            task.cancel()
        await fleet.stop()
