"""Keys that sign and verify session tokens, from the settings in force."""

import hashlib

from result import Ok

from lavendergate.core.settings.resolution import SettingsTree
from lavendergate.core.tokens import TokenKey, TokenKeys, parse_key

FALLBACK_KEY_ID = 'default'
_SECRET_BYTES = 32


class TokenKeyring:
    """Parses the keys once for each settings version.

    Parameters
    ----------
    fallback_secret
        Secret that all hosts share. The fallback key, which is derived from
        it, signs tokens while the settings name no signing key or contain no
        valid key, so that a new system works without one.
    """

    def __init__(self, *, fallback_secret: bytes) -> None:
        self._fallback_key = TokenKey(
            key_id=FALLBACK_KEY_ID,
            secret=hashlib.blake2b(
                b'session tokens',
                key=fallback_secret[:64],
                digest_size=_SECRET_BYTES,
            ).digest(),
        )
        self._tree: SettingsTree | None = None
        self._keys = TokenKeys(signing=self._fallback_key)

    def keys(self, tree: SettingsTree) -> TokenKeys:
        """Return the keys of a settings version."""
        if tree is not self._tree:
            self._tree = tree
            self._keys = self._read_keys(tree)
        return self._keys

    def _read_keys(self, tree: SettingsTree) -> TokenKeys:
        settings = tree.effective_settings()
        parsed = [
            parse_key(text)
            for text in (
                settings.token_signing_key or '',
                *settings.token_accepted_keys,
            )
        ]
        keys = [key.ok_value for key in parsed if isinstance(key, Ok)]
        if settings.token_signing_key is None or not keys:
            return TokenKeys(signing=self._fallback_key, accepted=tuple(keys))
        # Tokens signed with the fallback key stay valid, so that setting the
        # first signing key ends no session.
        return TokenKeys(
            signing=keys[0], accepted=(*keys[1:], self._fallback_key)
        )
