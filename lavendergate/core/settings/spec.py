"""Description of one setting."""

import enum
from dataclasses import dataclass

from lavendergate.core.settings.document import SettingValue
from lavendergate.core.settings.paths import NodeLevel

MAX_LIST_LENGTH = 8


@enum.unique
class Kind(enum.Enum):
    """Type of a setting's value."""

    integer = 'integer'
    number = 'number'
    boolean = 'true or false'
    choice = 'choice'
    token_key = 'token key'
    token_keys = 'list of token keys'


@dataclass(frozen=True, kw_only=True, slots=True)
class SettingSpec:
    """Type, range, default and scope of one setting.

    Parameters
    ----------
    key
        Name in the tree, such as ``read.max_age_ms``.
    kind, unit
        Type and unit of the value.
    default
        Value if no node sets one; None if the setting has no default.
    minimum, maximum
        Range of a number, inclusive.
    choices
        Possible values of a choice.
    scope
        Deepest level of the tree at which the key may be set.
    is_risky
        Whether a change can cause a loss of consistency or of availability,
        or make tokens invalid, so that an operator has to confirm it.
    is_secret
        Whether the value must not appear in output or messages.
    description
        What the setting does, for operators.
    """

    key: str
    kind: Kind
    description: str
    default: SettingValue | None
    scope: NodeLevel
    unit: str = ''
    minimum: float = 0
    maximum: float = 0
    choices: tuple[str, ...] = ()
    is_risky: bool = False
    is_secret: bool = False

    @property
    def attribute(self) -> str:
        """Name of the attribute in `EffectiveSettings`."""
        return self.key.replace('.', '_')

    @property
    def expected(self) -> str:
        """Description of the acceptable values."""
        match self.kind:
            case Kind.integer | Kind.number:
                bounds = f'from {self.minimum:,.10g} to {self.maximum:,.10g}'
                return f'{self.kind.value} {bounds} {self.unit}'.strip()
            case Kind.choice:
                return f'one of {", ".join(self.choices)}'
            case Kind.token_key:
                return '<key id>:<base64url of 16 to 64 bytes>'
            case Kind.token_keys:
                return (
                    f'at most {MAX_LIST_LENGTH} of <key id>:<base64url of 16 '
                    'to 64 bytes>'
                )
        return str(self.kind.value)
