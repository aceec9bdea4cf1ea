"""Tests of session tokens."""

import unittest

from lavendergate.core.tokens import (
    EMPTY_TOKEN,
    GROUP_LIMIT,
    SessionToken,
    TokenKey,
    TokenKeys,
    parse_key,
    sign_token,
    verify_token,
)
from lavendergate.core.types import GroupId, LogPosition, Term

_OLD = TokenKey(key_id='2026-01', secret=b'a' * 16)
_NEW = TokenKey(key_id='2026-02', secret=b'b' * 16)


def _token(group: str, term: int, position: int) -> SessionToken:
    entry = LogPosition(term=Term(term), position=position)
    return SessionToken(positions={GroupId(group): entry})


class TokenTest(unittest.TestCase):
    """Signing, rotation and merging."""

    def test_key_rotation(self) -> None:
        """Guards against rejecting valid tokens after a key rotation."""
        token = _token('g', 2, 7)
        text = sign_token(token, TokenKeys(signing=_OLD))
        rotated = TokenKeys(signing=_NEW, accepted=(_OLD,))
        self.assertEqual(token, verify_token(text, rotated).unwrap())
        removed = verify_token(text, TokenKeys(signing=_NEW))
        self.assertIn('2026-01', removed.unwrap_err().message)

    def test_forged_tokens(self) -> None:
        """Guards against tokens whose positions a caller has changed."""
        keys = TokenKeys(signing=_OLD)
        text = sign_token(_token('g', 2, 7), keys)
        other = sign_token(_token('g', 2, 8), keys)
        payload = other.split('.')[2]
        forged = text.replace(text.split('.')[2], payload)
        for case in (forged, text[:-1], f'{text}é', 'v1.a', text + '.x', ''):
            with self.subTest(case=case):
                self.assertTrue(verify_token(case, keys).is_err())

    def test_merge_keeps_the_newer_term(self) -> None:
        """Guards against preferring the longer log of a replaced primary."""
        merged = _token('g', 1, 90).merge(_token('g', 2, 10)).unwrap()
        self.assertEqual(_token('g', 2, 10), merged)

    def test_group_limit(self) -> None:
        """Guards against silently dropping a group from a token."""
        token = EMPTY_TOKEN
        for index in range(GROUP_LIMIT):
            token = token.merge(_token(f'g{index}', 1, 1)).unwrap()
        self.assertTrue(token.has_room_for(GroupId('g0')))
        self.assertFalse(token.has_room_for(GroupId('other')))
        error = token.merge(_token('other', 1, 1)).unwrap_err()
        self.assertIn('17 groups', error.message)

    def test_keys_from_settings(self) -> None:
        """Guards against signing with a secret that is too short."""
        self.assertEqual(
            _OLD, parse_key('2026-01:' + 'YWFh' * 5 + 'YQ').unwrap()
        )
        self.assertTrue(parse_key('a:YWFh').is_err())
        self.assertTrue(parse_key('a b:' + 'YWFh' * 6).is_err())
