"""Sends changed messages to the sockets of running processes of each role.

``.venv/bin/python -m faults.socket_fuzz --seeds 5`` plays seeds 0 to 4, one
after the other, after the build of the deploy file. The messages are those of
`properties.decoder_targets`, whose libraries the environment has. Those that
could be accepted as a change of the fleet are left out, so that nothing may
change for the callers beside them.
"""

import argparse
import asyncio
import contextlib
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from random import Random

from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError, StreamTerminatedError
from kit import http
from kit.clients import (
    LostError,
    Session,
    configuration,
    publish,
    wait_until_served,
)
from kit.members import Platform, Service

from faults.processes import Fleet, Program, Record
from lavendergate.rpc.consensus_service import EXCHANGE
from lavendergate.rpc.fleet_service import MERGE, SYNC
from properties.decoder_mutations import mutate_bytes
from properties.decoder_targets import TARGETS, Target

_PROXIES = 2
_CALLERS = 8
_PAUSE_S = 0.05
_ANSWER_LIMIT_S = 1.0
_INPUTS_PER_CONNECTION = 20
_LEAST_DONE = 0.98
_DATABASE = 'own-svc1'
# Ports of the internal range that a process may listen on.
_INTERNAL_PORTS = 3
_BAD_REQUEST = 400
_BY_NAME = {target.name: target for target in TARGETS}


class _RawCodec(CodecBase):
    """Sends bytes as they are."""

    __content_subtype__ = 'msgpack'

    def encode(self, message: bytes, message_type: object) -> bytes:
        """Return the message."""
        return message

    def decode(self, data: bytes, message_type: object) -> bytes:
        """Return the message."""
        return data


@dataclass(frozen=True, kw_only=True)
class Border:
    """A place at which a process takes messages from outside.

    Parameters
    ----------
    role
        Role of the processes that have it.
    targets
        Names of the decoders there.
    send
        Sends some messages to one process; returns what was wrong.
    sends_accepted
        Whether messages that the decoder accepts are sent, too.
    """

    role: str
    targets: tuple[str, ...]
    send: Callable[[Fleet, Program, list[bytes]], Awaitable[str]]
    sends_accepted: bool = False

    def inputs(self, random: Random) -> list[bytes]:
        """Return changed messages."""
        return [self._input(random) for _ in range(_INPUTS_PER_CONNECTION)]

    def _input(self, random: Random) -> bytes:
        target = _BY_NAME[random.choice(self.targets)]
        while True:
            content = target.mutated(random)
            if self.sends_accepted or _is_refused(target, content):
                return content


def _is_refused(target: Target, content: bytes) -> bool:
    return target.decode(content) is None


async def _send_bytes(address: tuple[str, int], content: bytes) -> str:
    """Send bytes on a connection of its own, and read until its end."""
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError:
        return f'{address[1]} is not served'
    try:
        writer.write(content)
        await writer.drain()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_PAUSE_S):
                while await reader.read(1 << 16):
                    """Only the end of the connection matters."""
    except OSError:
        # The process closed the connection.
        return ''
    finally:
        writer.transport.abort()
    return ''


async def _send_lines(
    fleet: Fleet, program: Program, messages: list[bytes]
) -> str:
    start = f'START {_DATABASE} fuzz\r\n'.encode()
    lines = start + b''.join(message + b'\r\n' for message in messages)
    return await _send_bytes(program.front, lines)


async def _send_first_lines(
    fleet: Fleet, program: Program, messages: list[bytes]
) -> str:
    random = Random(messages[0])
    line = mutate_bytes(random, f'START {_DATABASE} fuzz\r\n'.encode())
    return await _send_bytes(program.front, line + messages[0])


async def _send_frames(
    fleet: Fleet, program: Program, messages: list[bytes]
) -> str:
    first = fleet.ports['internal']
    for number, message in enumerate(messages):
        content = len(message).to_bytes(4) + message
        port = first + number % _INTERNAL_PORTS
        await _send_bytes((program.ip, port), content)
        # A length that does not fit, and bytes that are no frame.
        await _send_bytes((program.ip, port), content[2:])
    return ''


async def _send_calls(
    fleet: Fleet, program: Program, messages: list[bytes]
) -> str:
    channel = Channel(program.ip, fleet.ports['internal'], codec=_RawCodec())
    try:
        for number, message in enumerate(messages):
            path = (EXCHANGE, SYNC, MERGE)[number % 3].path
            stub = UnaryUnaryMethod(channel, path, bytes, bytes)
            with contextlib.suppress(GRPCError, StreamTerminatedError):
                await stub(message, timeout=_ANSWER_LIMIT_S)
    except (OSError, TimeoutError) as error:
        return f'a call was not answered: {error!r}'
    finally:
        channel.close()
    return ''


async def _put_documents(
    fleet: Fleet, program: Program, messages: list[bytes]
) -> str:
    for message in messages:
        for path in ('/config', '/instances/i-0dd'):
            answer = await http.call(program.control, 'PUT', path, message)
            if answer is None:
                return f'PUT {path} was not answered'
            if answer[0] != _BAD_REQUEST:
                return f'PUT {path} was answered {answer[0]}'
    return ''


async def _send_requests(
    fleet: Fleet, program: Program, messages: list[bytes]
) -> str:
    for message in messages:
        head = (
            f'PUT /config HTTP/1.1\r\nhost: c\r\ncontent-length: {len(message)}'
        )
        content = head.encode() + b'\r\n\r\n' + message
        changed = mutate_bytes(Random(message), content)
        await _send_bytes(program.control, changed)
    return ''


# A document is refused at both paths of `_put_documents` if it is no valid
# one of its own kind: routes lack an address, and entries lack a version.
BORDERS: dict[str, Border] = {
    "callers' lines": Border(
        role='proxy',
        targets=("caller's line",),
        send=_send_lines,
        sends_accepted=True,
    ),
    "callers' first lines": Border(
        role='proxy', targets=("caller's line",), send=_send_first_lines
    ),
    'frames of proxies': Border(
        role='proxy',
        targets=('request frame', 'reply frame'),
        send=_send_frames,
    ),
    'frames at control hosts': Border(
        role='control', targets=('request frame',), send=_send_frames
    ),
    'calls of hosts': Border(
        role='control',
        targets=('message of the log', 'SyncRequest', 'MergeRequest'),
        send=_send_calls,
    ),
    'documents': Border(
        role='control',
        targets=('route document', 'announcement'),
        send=_put_documents,
    ),
    'requests': Border(
        role='control', targets=('route document',), send=_send_requests
    ),
}


@dataclass(kw_only=True)
class _Seen:
    """What one play saw."""

    callers: Counter[str]
    inputs: Counter[str]
    findings: list[str]


async def _call_repeatedly(
    fleet: Fleet, record: Record, number: int, counts: Counter[str]
) -> None:
    proxy = fleet.proxies[number % _PROXIES]
    while True:
        session = Session(record, f'caller-{number}')
        try:
            await session.start(proxy.front, _DATABASE)
            while True:
                answer = await session.query(f'READ item-{number}')
                counts[answer.code or 'done'] += 1
                await asyncio.sleep(_PAUSE_S)
        except LostError:
            counts['no answer'] += 1
            await asyncio.sleep(_PAUSE_S)


async def _fuzz_border(
    name: str, fleet: Fleet, random: Random, seen: _Seen
) -> None:
    border = BORDERS[name]
    while True:
        programs = [one for one in fleet.programs if one.role == border.role]
        program = random.choice(programs)
        inputs = border.inputs(random)
        problem = await border.send(fleet, program, inputs)
        seen.inputs[name] += len(inputs)
        if problem:
            seen.findings.append(f'{name} at {program.name}: {problem}')
        await asyncio.sleep(_PAUSE_S)


async def play(seed: int, seconds: float, folder: Path) -> _Seen:
    """Send messages to all borders beside callers.

    Parameters
    ----------
    seconds
        How long messages are sent.
    folder
        Receives the record of the play.
    """
    record = Record(folder)
    platform = Platform(record)
    fleet = Fleet(record, await platform.start(), proxies=_PROXIES)
    service = Service(record, 'svc1')
    platform.services[service.name] = service
    await service.start(fleet)
    seen = _Seen(callers=Counter(), inputs=Counter(), findings=[])
    tasks: list[asyncio.Task[None]] = []
    try:
        fleet.start()
        tasks.append(asyncio.create_task(platform.send_heartbeats(fleet)))
        await publish(fleet, configuration(1, [service]))
        await wait_until_served(fleet, [_DATABASE])
        tasks.extend(
            asyncio.create_task(
                _call_repeatedly(fleet, record, number, seen.callers)
            )
            for number in range(_CALLERS)
        )
        senders = [
            asyncio.create_task(
                _fuzz_border(name, fleet, Random(f'{seed} {name}'), seen)
            )
            for name in BORDERS
        ]
        await asyncio.wait(senders, timeout=seconds)
        for sender in senders:
            if sender.done():
                seen.findings.append(f'not played on: {sender.exception()!r}')
            sender.cancel()
        await publish(fleet, configuration(2, [service]))
        await wait_until_served(fleet, [_DATABASE])
        _check(fleet, seen)
        return seen
    finally:
        for task in tasks:
            task.cancel()
        await fleet.stop()


def _check(fleet: Fleet, seen: _Seen) -> None:
    """Note processes that ended, and callers that were not served."""
    for program in fleet.programs:
        if program.own_ends:
            seen.findings.append(f'{program.name} ended: {program.own_ends}')
    done = seen.callers['done'] / max(1, seen.callers.total())
    if done < _LEAST_DONE or seen.callers['no answer']:
        seen.findings.append(f'callers: {dict(seen.callers)}')


def main() -> int:
    """Play some seeds; return 1 if one of them found something."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--first', type=int, default=0)
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=20)
    options = parser.parse_args()
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        began = time.monotonic()
        with tempfile.TemporaryDirectory() as folder:
            seen = asyncio.run(play(seed, options.seconds, Path(folder)))
        failed += bool(seen.findings)
        print(
            f'seed {seed}, {time.monotonic() - began:.0f} s: '
            f'{seen.findings or "held"}; inputs {dict(seen.inputs)}; '
            f'callers {dict(seen.callers)}',
            flush=True,
        )
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
