"""Identity of a settings change and the version that it is based on."""

import re
import secrets
from dataclasses import dataclass

from lavendergate.cli.outcome import usage
from lavendergate.core.types import SettingsVersion

_RANDOM_BYTES = 8
_GENERATED = re.compile('v([0-9]+)-[0-9a-f]+')


@dataclass(frozen=True, kw_only=True, slots=True)
class Operation:
    """Identity of a change.

    Parameters
    ----------
    base_version
        Version that the change is based on.
    is_resend
        Whether the change may have been sent before.
    """

    operation_id: str
    base_version: SettingsVersion
    is_resend: bool


def choose_operation(
    current: SettingsVersion, operation_id: str, base_version: int | None
) -> Operation:
    """Return the identity of a change from the arguments of a command.

    A generated id contains the base version, because control compares the
    whole command when an id comes again.

    Raises
    ------
    CommandError
        If the base version of a given id is not known.
    """
    if not operation_id:
        base = current if base_version is None else base_version
        return Operation(
            operation_id=f'v{base}-{secrets.token_hex(_RANDOM_BYTES)}',
            base_version=SettingsVersion(base),
            is_resend=False,
        )
    found = _GENERATED.fullmatch(operation_id)
    if base_version is None and found is None:
        raise usage(
            f'operation id {operation_id!r} names no version; give '
            '--base-version as well'
        )
    if base_version is None and found is not None:
        base_version = int(found[1])
    return Operation(
        operation_id=operation_id,
        base_version=SettingsVersion(base_version or 0),
        is_resend=True,
    )
