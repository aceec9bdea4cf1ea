"""Operation id and base version of a settings change."""

import re
import secrets
from dataclasses import dataclass

from lavendergate.cli.errors import usage_error
from lavendergate.core.types import SettingsVersion

_RANDOM_BYTES = 8
_GENERATED_ID = re.compile('v([0-9]+)-[0-9a-f]+')


@dataclass(frozen=True, kw_only=True, slots=True)
class Operation:
    """Operation id and base version of a settings change.

    Parameters
    ----------
    operation_id
        Id that makes the change idempotent: control applies it once.
    base_version
        Settings version that the change is based on.
    is_resend
        Whether the change may already have been sent with this id.
    """

    operation_id: str
    base_version: SettingsVersion
    is_resend: bool


def choose_operation(
    current: SettingsVersion, operation_id: str, base_version: int | None
) -> Operation:
    """Return the operation for the arguments of a command.

    Without an id, a new one is generated. It contains the base version, so
    that a resend repeats the command unchanged: when control receives an id
    again, it compares the complete command.

    Parameters
    ----------
    current
        Settings version in force; base version of a new operation unless
        `base_version` is given.
    operation_id
        Id of an earlier attempt, or an empty string.

    Raises
    ------
    CommandError
        If the base version of the given id is unknown.
    """
    if not operation_id:
        base = current if base_version is None else base_version
        return Operation(
            operation_id=f'v{base}-{secrets.token_hex(_RANDOM_BYTES)}',
            base_version=SettingsVersion(base),
            is_resend=False,
        )
    match = _GENERATED_ID.fullmatch(operation_id)
    if base_version is None and match is None:
        raise usage_error(
            f'operation id {operation_id!r} contains no version; give '
            '--base-version as well'
        )
    if base_version is None and match is not None:
        base_version = int(match[1])
    return Operation(
        operation_id=operation_id,
        base_version=SettingsVersion(base_version or 0),
        is_resend=True,
    )
