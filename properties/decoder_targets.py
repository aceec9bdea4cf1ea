"""All decoders of values from outside, with what must hold of each.

A decoder refuses an input with its documented error only. What it accepts is
bounded: it can be encoded again, and its addresses can be connected to.
"""

import math
import tempfile
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

import msgspec
from result import Err, Result

from lavendergate.core.bounds.addresses import split_address
from lavendergate.core.bounds.decoding import (
    InvalidValueError,
    decode_msgpack,
    decode_toml,
)
from lavendergate.core.consensus.payload import (
    decode_command,
    decode_configuration,
)
from lavendergate.core.control_routes import pack_routes, unpack_routes
from lavendergate.core.control_state import decode_state, encode_state
from lavendergate.core.fleet_directory import MemberEntry
from lavendergate.core.routes import RoutesVersion
from lavendergate.core.tokens import (
    SessionToken,
    TokenKey,
    TokenKeys,
    sign_token,
    verify_token,
)
from lavendergate.core.types import GroupId, LogPosition, Term, UpstreamId
from lavendergate.platform.control_calls import ControlCalls, ControlHttp
from lavendergate.platform.documents import (
    decode_accepted_routes,
    decode_announcement,
    decode_routes,
)
from lavendergate.platform.line_codec import (
    LineError,
    encode_statement,
    parse_position,
    parse_ready,
    parse_refusal,
    parse_report,
    parse_request,
)
from lavendergate.platform.settings_file import HostSettings
from lavendergate.rpc import announcement_signature, relay_stream
from lavendergate.rpc.announcement_signature import (
    verify_announcement,
)
from lavendergate.rpc.codec import MessagePackCodec
from lavendergate.rpc.consensus_service import ExchangeRequest
from lavendergate.rpc.http import HttpRequest
from lavendergate.storage.base import StorageError
from lavendergate.storage.files import FileStorage
from lavendergate.storage.fleet_state_file import FleetStateFile
from lavendergate.storage.framing import encode_frame
from lavendergate.storage.records import Replay, change_decoder, encoder
from properties import decoder_samples as samples
from properties.decoder_mutations import (
    Mutate,
    mutate_bytes,
    mutate_json,
    mutate_msgpack,
)

_MAX_UNSIGNED = (1 << 64) - 1
_MIN_SIGNED = -(1 << 63)
_KEY = b'k' * 16
_FILE_COST = 1000
_KEYS = TokenKeys(signing=TokenKey(key_id='k', secret=_KEY))
_codec = MessagePackCodec()


@dataclass(frozen=True, kw_only=True)
class Target:
    """A decoder.

    Parameters
    ----------
    samples
        Valid inputs.
    decode
        Returns what was decoded; None for a refusal.
    mutations
        Ways to change a valid input.
    cost
        How many times as long a run takes as that of other decoders, which
        touch no disk.
    """

    name: str
    samples: tuple[bytes, ...]
    decode: Callable[[bytes], object]
    mutations: tuple[Mutate, ...] = (mutate_bytes,)
    cost: int = 1

    def mutated(self, random: Random) -> bytes:
        """Return a changed valid input."""
        mutate = random.choice(self.mutations)
        return mutate(random, random.choice(self.samples))


def check(target: Target, content: bytes) -> None:
    """Decode an input.

    Raises
    ------
    Exception
        If the decoder lets an undocumented error through, or returns a value
        that is not bounded.
    """
    decoded = target.decode(content)
    if decoded is not None:
        encoded = msgspec.msgpack.encode(decoded, enc_hook=str)
        msgspec.json.encode(decoded, enc_hook=str)
        check_bounded(msgspec.msgpack.decode(encoded))


def check_bounded(decoded: Any) -> None:
    """Check the numbers in what msgspec has turned into builtin types."""
    pending = [decoded]
    while pending:
        match pending.pop():
            case bool():
                continue
            case int() as number:
                assert _MIN_SIGNED <= number <= _MAX_UNSIGNED, number
            case float() as number:
                assert math.isfinite(number), number
            case dict() as fields:
                pending.extend(fields)
                pending.extend(fields.values())
            case list() as parts:
                pending.extend(parts)


def _value(decoded: Result[object, object]) -> object:
    return None if isinstance(decoded, Err) else decoded.ok_value


def _refusing(
    decode: Callable[[bytes], object], *errors: type[Exception]
) -> Callable[[bytes], object]:
    def run(content: bytes) -> object:
        try:
            return decode(content)
        except errors:
            return None

    return run


def _announcement(content: bytes) -> object:
    decoded = decode_announcement('i-1', content)
    if isinstance(decoded, Err):
        assert len(decoded.err_value) < 500, decoded.err_value
        return None
    _check_entries((decoded.ok_value,))
    return decoded.ok_value


def _check_entries(entries: Iterable[MemberEntry]) -> None:
    for entry in entries:
        split_address(entry.address)
        # The line that starts a session at the member.
        line = f'START {entry.service} proxy {entry.upstream_id}'
        assert line.isprintable() and line.count(' ') == 3, line
        assert entry.slots > 0 and entry.failure_domain


def _message(message_type: type) -> Callable[[bytes], object]:
    def decode(content: bytes) -> object:
        decoded = _codec.decode(content, message_type)
        _check_entries(getattr(decoded, 'entries', ()))
        return _codec.encode(decoded, message_type)

    return _refusing(decode, InvalidValueError)


def _text(decode: Callable[[str], object]) -> Callable[[bytes], object]:
    # Lines are decoded by their reader, which ends the connection.
    return _refusing(
        lambda content: decode(content.decode()),
        LineError,
        UnicodeDecodeError,
    )


def _request(text: str) -> object:
    request_id, statement = parse_request(text)
    assert len(request_id) <= 255
    if statement is not None:
        assert request_id and request_id.isprintable()
        assert text == f'{request_id} {encode_statement(statement)}'
    return request_id


def _file_content(name: str) -> Callable[[bytes], object]:
    def decode(content: bytes) -> object:
        with tempfile.TemporaryDirectory() as folder:
            directory = Path(folder)
            storage = FileStorage(directory=directory, host_id=_HOST)
            storage.load()
            storage.close()
            (directory / name).write_bytes(encode_frame(content or b'\xc1'))
            again = FileStorage(directory=directory, host_id=_HOST)
            try:
                return again.load().hard_state
            finally:
                again.close()

    return _refusing(decode, StorageError)


def _replay(content: bytes) -> object:
    replay = Replay()
    for change in decode_msgpack(change_decoder, content):
        replay.apply(change)
    return replay.entries


_HOST = samples.IDENTITY.identity.host_id


def _directory(content: bytes) -> object:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder)
        (path / 'directory').write_bytes(content)
        saved = FleetStateFile(data_directory=path).load()
        _check_entries(saved.entries)
        return saved


class _Calls(ControlCalls):
    """Accepts all calls, and checks what they carry."""

    async def announce(self, entry: MemberEntry) -> bool:
        _check_entries((entry,))
        return True

    async def remove_member(
        self, upstream_id: UpstreamId, born: int | None
    ) -> bool:
        return True

    async def publish_routes(
        self, version: RoutesVersion, content: bytes
    ) -> bool:
        content.decode()
        assert 0 < version < 1 << 63
        return True

    async def read_routes(self) -> bytes | None:
        return b'{}'


_handle = ControlHttp(calls=_Calls()).handle


def _path(content: bytes) -> object:
    # h11 lets only visible ASCII characters through.
    path = ''.join(chr(33 + byte % 94) for byte in content)
    call = _handle(
        HttpRequest(method='PUT', path=path, body=samples.ANNOUNCEMENT)
    )
    try:
        call.send(None)
    except StopIteration as stopped:
        response = stopped.value
    assert response.status in {200, 400, 404}
    assert len(response.body) <= 4096
    return msgspec.json.decode(response.body)


def _token(content: bytes) -> object:
    text = content.decode('utf-8', 'surrogateescape')
    return _value(verify_token(text, _KEYS))


def _signed(content: bytes) -> object:
    return verify_announcement(
        announcement_signature._signature(content, _KEY) + content, _KEY
    )


def _encode(*messages: object) -> tuple[bytes, ...]:
    return tuple(map(encoder.encode, messages))


def _msgpack_target(
    name: str,
    content: tuple[bytes, ...],
    decode: Callable[[bytes], object],
    cost: int = 1,
) -> Target:
    return Target(
        name=name,
        samples=content,
        decode=decode,
        mutations=(mutate_bytes, mutate_msgpack),
        cost=cost,
    )


_TOKEN = sign_token(
    SessionToken(
        positions={GroupId('g'): LogPosition(term=Term(2), position=7)}
    ),
    _KEYS,
).encode()

TARGETS = (
    Target(
        name='route document',
        samples=(samples.ROUTES,),
        decode=lambda content: _value(decode_routes(content)),
        mutations=(mutate_bytes, mutate_json),
    ),
    Target(
        name='route document in force',
        samples=(samples.ROUTES,),
        decode=lambda content: _value(
            decode_accepted_routes(pack_routes(content))
        ),
        mutations=(mutate_bytes, mutate_json),
    ),
    Target(
        name='compressed route document',
        samples=(pack_routes(samples.ROUTES),),
        decode=_refusing(unpack_routes, InvalidValueError),
    ),
    Target(
        name='announcement',
        samples=(samples.ANNOUNCEMENT,),
        decode=_announcement,
        mutations=(mutate_bytes, mutate_json),
    ),
    Target(
        name='path of a call',
        samples=(b'/instances/i-1', b'/instances/%C3%A9%FF', b'/config'),
        decode=_path,
    ),
    Target(
        name='settings file',
        samples=(samples.SETTINGS,),
        decode=_refusing(
            lambda content: decode_toml(content, HostSettings),
            InvalidValueError,
        ),
    ),
    Target(
        name="caller's line",
        samples=(
            b'5c0e AFTER 3.1207 READ 1a4',
            b'5c0e WRITE 1a4 some data',
            b'5c0e PREPARE s1 WRITE q2c',
            b'5c0e EXEC s1 1a4 x',
            b'5c0e BEGIN READ',
        ),
        decode=_text(_request),
    ),
    Target(
        name='position',
        samples=(b'3.1207', b'-', b'0.9223372036854775807'),
        decode=_text(parse_position),
    ),
    Target(
        name='READY line', samples=(b'I 3.1209',), decode=_text(parse_ready)
    ),
    Target(
        name='ERR line',
        samples=(b'READONLY i-1', b'BUSY'),
        decode=_text(parse_refusal),
    ),
    Target(
        name='status row',
        samples=(b'replica 3 3.1209 0 12 2 17', b'primary 3 3.1 0 1.5 .5 2.'),
        decode=_text(parse_report),
    ),
    _msgpack_target(
        'request frame',
        samples.REQUEST_FRAMES,
        _refusing(
            lambda content: decode_msgpack(
                relay_stream._request_decoder, content
            ),
            InvalidValueError,
        ),
    ),
    _msgpack_target(
        'reply frame',
        samples.REPLY_FRAMES,
        _refusing(
            lambda content: decode_msgpack(
                relay_stream._reply_decoder, content
            ),
            InvalidValueError,
        ),
    ),
    *(
        _msgpack_target(
            type(message).__name__,
            _encode(message),
            _message(type(message)),
        )
        for message in (
            samples.SYNC_REQUEST,
            samples.SYNC_REPLY,
            samples.MERGE,
            samples.PROPOSAL,
            samples.ROUTES_REPLY,
        )
    ),
    _msgpack_target(
        'message of the log',
        _encode(*([one] for one in samples.ENVELOPES)),
        _message(ExchangeRequest),
    ),
    _msgpack_target(
        'command',
        samples.COMMANDS,
        _refusing(decode_command, InvalidValueError),
    ),
    _msgpack_target(
        'configuration',
        samples.COMMANDS[2:],
        _refusing(decode_configuration, InvalidValueError),
    ),
    _msgpack_target(
        'state of a snapshot',
        (samples.STATE,),
        _refusing(
            lambda content: encode_state(decode_state(content)),
            InvalidValueError,
        ),
    ),
    _msgpack_target(
        'records of the log',
        _encode(samples.CHANGES),
        _refusing(_replay, InvalidValueError),
    ),
    *(
        _msgpack_target(
            f'{name} file', _encode(content), _file_content(name), _FILE_COST
        )
        for name, content in (
            ('log', samples.CHANGES),
            ('snapshot', samples.SNAPSHOT),
            ('identity', samples.IDENTITY),
        )
    ),
    _msgpack_target('directory file', _encode(samples.SAVED), _directory, 10),
    Target(name='token', samples=(_TOKEN,), decode=_token),
    _msgpack_target('signed announcement', (b'\x80',), _signed),
)
