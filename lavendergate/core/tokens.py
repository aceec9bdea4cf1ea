"""Session tokens: merge, sign, verify, key rotation."""

import base64
import binascii
import hashlib
import hmac
import re
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec
from result import Err, Ok, Result

from lavendergate.core.errors import TokenError, TokenLimitError, quoted
from lavendergate.core.types import GroupId, LogPosition, Term

TOKEN_VERSION = 'v1'
GROUP_LIMIT = 16
SIGNATURE_BYTES = 16
TOKEN_LENGTH_LIMIT = 4096
MIN_SECRET_BYTES = 16
MAX_SECRET_BYTES = 64

_PARTS = 4
_NEW_SESSION = 'begin a new session without the token'
_KEY_FORMAT = (
    'expected <key id>:<base64url of 16 to 64 bytes>, the id of letters, '
    'digits, - and _'
)

_KEY_ID = re.compile('[A-Za-z0-9_-]{1,32}')
_Entry = tuple[str, int, int]
_decoder = msgspec.msgpack.Decoder(list[_Entry])
_encoder = msgspec.msgpack.Encoder()


@dataclass(frozen=True, kw_only=True, slots=True)
class SessionToken:
    """Last positions that a session wrote or read, by group."""

    positions: Mapping[GroupId, LogPosition] = field(default_factory=dict)

    def position(self, group_id: GroupId) -> LogPosition | None:
        """Return the session's position in a group, or None."""
        return self.positions.get(group_id)

    def has_room_for(self, group_id: GroupId) -> bool:
        """Tell whether a write to the group would still fit.

        Drivers ask before the write, because a write that has run cannot
        be refused any more.
        """
        return group_id in self.positions or len(self.positions) < GROUP_LIMIT

    def advance(
        self,
        group_id: GroupId,
        position: LogPosition,
    ) -> Result['SessionToken', TokenLimitError]:
        """Return the token with at least this position in the group."""
        known = self.positions.get(group_id)
        if known is not None and known >= position:
            return Ok(self)
        return _bounded({**self.positions, group_id: position})

    def merge(
        self,
        other: 'SessionToken',
    ) -> Result['SessionToken', TokenLimitError]:
        """Return the token with the maximum of both in each group."""
        merged = dict(self.positions)
        for group_id, position in other.positions.items():
            merged[group_id] = max(merged.get(group_id, position), position)
        return _bounded(merged)


EMPTY_TOKEN = SessionToken()


@dataclass(frozen=True, kw_only=True, slots=True)
class TokenKey:
    """A secret that signs tokens, and the id that tokens carry."""

    key_id: str
    secret: bytes = field(repr=False)


@dataclass(frozen=True, kw_only=True, slots=True)
class TokenKeys:
    """Keys in force.

    Parameters
    ----------
    signing
        Key of new tokens; tokens with it are accepted.
    accepted
        Older or coming keys whose tokens are accepted too. A rotation adds
        the new key here first, then signs with it, then removes the old
        one, so that proxies with different settings versions agree.
    """

    signing: TokenKey
    accepted: tuple[TokenKey, ...] = ()

    def find(self, key_id: str) -> TokenKey | None:
        """Return the accepted key with this id."""
        for key in (self.signing, *self.accepted):
            if key.key_id == key_id:
                return key
        return None


def parse_key(text: str) -> Result[TokenKey, str]:
    """Read a key from the settings, ``<key id>:<base64url secret>``."""
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
    """Check a token's signature and decode it."""
    parts = text.split('.')
    if len(text) > TOKEN_LENGTH_LIMIT or len(parts) != _PARTS:
        return _refused(text, 'is malformed', 'send the token unchanged')
    version, key_id, payload, signature = parts
    if version != TOKEN_VERSION:
        return _refused(text, 'has an unknown version', _NEW_SESSION)
    key = keys.find(key_id)
    if key is None:
        reason = f'is signed with the unknown key {quoted(key_id)}'
        return _refused(text, reason, _NEW_SESSION)
    body = text[: -len(signature) - 1]
    expected = _signature(body, key)
    if not hmac.compare_digest(expected.encode(), signature.encode()):
        return _refused(
            text, 'has a wrong signature', 'send the token unchanged'
        )
    return _decode(text, payload)


def _decode(text: str, payload: str) -> Result[SessionToken, TokenError]:
    raw = _unbase64(payload)
    try:
        entries = _decoder.decode(raw or b'')
    except msgspec.MsgspecError:
        return _refused(text, 'cannot be decoded', _NEW_SESSION)
    positions = {
        GroupId(group_id): LogPosition(term=Term(term), position=position)
        for group_id, term, position in entries
    }
    if len(entries) > GROUP_LIMIT or len(positions) < len(entries):
        return _refused(text, 'names too many groups', _NEW_SESSION)
    return Ok(SessionToken(positions=positions))


def _bounded(
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


def _refused(text: str, reason: str, advice: str) -> Err[TokenError]:
    return Err(
        TokenError(quoted_token=quoted(text), reason=reason, advice=advice),
    )
