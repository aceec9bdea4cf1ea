"""Session tokens: merging, signing, verification and key rotation."""

import base64
import binascii
import hashlib
import hmac
import re
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec
from result import Err, Ok, Result

from lavendergate.core.bounds.decoding import (
    InvalidValueError,
    decode_msgpack,
)
from lavendergate.core.bounds.ranges import Count
from lavendergate.core.errors import TokenError, TokenLimitError, quoted
from lavendergate.core.types import GroupId, LogPosition, Term

TOKEN_VERSION = 'v1'
GROUP_LIMIT = 16
SIGNATURE_BYTES = 16
TOKEN_LENGTH_LIMIT = 4096
MIN_SECRET_BYTES = 16
MAX_SECRET_BYTES = 64

_PART_COUNT = 4
_NEW_SESSION_ADVICE = 'begin a new session without the token'
_KEY_FORMAT = (
    'expected <key id>:<base64url of 16 to 64 bytes>, the id of letters, '
    'digits, - and _'
)

_KEY_ID = re.compile('[A-Za-z0-9_-]{1,32}')
_Entry = tuple[str, Count, Count]
_decoder = msgspec.msgpack.Decoder(list[_Entry])
_encoder = msgspec.msgpack.Encoder()


@dataclass(frozen=True, kw_only=True, slots=True)
class SessionToken:
    """Last log positions that a session wrote or read, by group."""

    positions: Mapping[GroupId, LogPosition] = field(default_factory=dict)

    def position(self, group_id: GroupId) -> LogPosition | None:
        """Return the session's position in a group, None if it has none."""
        return self.positions.get(group_id)

    def has_room_for(self, group_id: GroupId) -> bool:
        """Return whether the token can hold a position of the group.

        Controllers check this before a write, because a write that has run
        can no longer be refused.
        """
        return group_id in self.positions or len(self.positions) < GROUP_LIMIT

    def advance(
        self,
        group_id: GroupId,
        position: LogPosition,
    ) -> Result['SessionToken', TokenLimitError]:
        """Return a token whose position in the group is at least this one."""
        known = self.positions.get(group_id)
        if known is not None and known >= position:
            return Ok(self)
        return _build_token({**self.positions, group_id: position})

    def merge(
        self,
        other: 'SessionToken',
    ) -> Result['SessionToken', TokenLimitError]:
        """Return a token with the later position of both in each group."""
        merged = dict(self.positions)
        for group_id, position in other.positions.items():
            merged[group_id] = max(merged.get(group_id, position), position)
        return _build_token(merged)


EMPTY_TOKEN = SessionToken()


@dataclass(frozen=True, kw_only=True, slots=True)
class TokenKey:
    """Secret that signs tokens, and the key id that the tokens contain."""

    key_id: str
    secret: bytes = field(repr=False)


@dataclass(frozen=True, kw_only=True, slots=True)
class TokenKeys:
    """Keys that sign and verify tokens.

    Parameters
    ----------
    signing
        Key that signs new tokens. Tokens signed with it are accepted.
    accepted
        Previous or next keys whose tokens are also accepted. A rotation
        first adds the new key here, then signs with it, then removes the
        old one, so that proxies with different settings versions accept
        each other's tokens.
    """

    signing: TokenKey
    accepted: tuple[TokenKey, ...] = ()

    def find(self, key_id: str) -> TokenKey | None:
        """Return the signing or other accepted key with this id, or None."""
        for key in (self.signing, *self.accepted):
            if key.key_id == key_id:
                return key
        return None


def parse_key(text: str) -> Result[TokenKey, str]:
    """Parse a key from the settings, ``<key id>:<base64url secret>``."""
    key_id, _, encoded = text.partition(':')
    secret = _unbase64(encoded)
    if secret is None or not _KEY_ID.fullmatch(key_id):
        return Err(
            f'the token key {quoted(key_id)} is malformed; {_KEY_FORMAT}'
        )
    if not MIN_SECRET_BYTES <= len(secret) <= MAX_SECRET_BYTES:
        return Err(
            f'the token key {quoted(key_id)} has {len(secret)} bytes; '
            f'{_KEY_FORMAT}',
        )
    return Ok(TokenKey(key_id=key_id, secret=secret))


def sign_token(token: SessionToken, keys: TokenKeys) -> str:
    """Encode and sign a token with the signing key."""
    entries = sorted(
        (group_id, position.term, position.position)
        for group_id, position in token.positions.items()
    )
    payload = _base64(_encoder.encode(entries))
    body = f'{TOKEN_VERSION}.{keys.signing.key_id}.{payload}'
    return f'{body}.{_signature(body, keys.signing)}'


def verify_token(
    text: str,
    keys: TokenKeys,
) -> Result[SessionToken, TokenError]:
    """Verify the signature of a token and decode the token."""
    parts = text.split('.')
    is_readable = len(text) <= TOKEN_LENGTH_LIMIT and text.isascii()
    if not is_readable or len(parts) != _PART_COUNT:
        return _token_error(text, 'is malformed', 'send the token unchanged')
    version, key_id, payload, signature = parts
    if version != TOKEN_VERSION:
        return _token_error(text, 'has an unknown version', _NEW_SESSION_ADVICE)
    key = keys.find(key_id)
    if key is None:
        reason = f'is signed with the unknown key {quoted(key_id)}'
        return _token_error(text, reason, _NEW_SESSION_ADVICE)
    body = text[: -len(signature) - 1]
    expected = _signature(body, key)
    if not hmac.compare_digest(expected.encode(), signature.encode()):
        return _token_error(
            text, 'has a wrong signature', 'send the token unchanged'
        )
    return _decode(text, payload)


def _decode(text: str, payload: str) -> Result[SessionToken, TokenError]:
    raw = _unbase64(payload)
    try:
        entries = decode_msgpack(_decoder, raw or b'')
    except InvalidValueError:
        return _token_error(text, 'cannot be decoded', _NEW_SESSION_ADVICE)
    positions = {
        GroupId(group_id): LogPosition(term=Term(term), position=position)
        for group_id, term, position in entries
    }
    if len(entries) > GROUP_LIMIT or len(positions) < len(entries):
        return _token_error(text, 'names too many groups', _NEW_SESSION_ADVICE)
    return Ok(SessionToken(positions=positions))


def _build_token(
    positions: Mapping[GroupId, LogPosition],
) -> Result[SessionToken, TokenLimitError]:
    if len(positions) > GROUP_LIMIT:
        return Err(TokenLimitError(groups=len(positions), limit=GROUP_LIMIT))
    return Ok(SessionToken(positions=positions))


def _signature(body: str, key: TokenKey) -> str:
    digest = hashlib.blake2b(
        body.encode(),
        key=key.secret,
        digest_size=SIGNATURE_BYTES,
    )
    return _base64(digest.digest())


def _base64(raw: bytes) -> str:
    return base64.urlsafe_b64encode(raw).rstrip(b'=').decode()


def _unbase64(text: str) -> bytes | None:
    padding = '=' * (-len(text) % 4)
    try:
        return base64.b64decode(text + padding, altchars=b'-_', validate=True)
    except (binascii.Error, ValueError):
        return None


def _token_error(text: str, reason: str, advice: str) -> Err[TokenError]:
    return Err(
        TokenError(quoted_token=quoted(text), reason=reason, advice=advice),
    )
