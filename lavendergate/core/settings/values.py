"""Validation and parsing of setting keys and values."""

import difflib
import math
import re
from collections.abc import Callable, Mapping

from result import Err, Ok, Result

from lavendergate.core.settings.document import SettingValue
from lavendergate.core.settings.schema import SCHEMA
from lavendergate.core.settings.spec import MAX_LIST_LENGTH, Kind, SettingSpec

_MAX_QUOTED_CHARACTERS = 60
_TOKEN_KEY_PATTERN = re.compile(
    '[A-Za-z0-9_-]{1,32}:[A-Za-z0-9_-]{22,86}={0,2}'
)


def find_spec(key: str) -> Result[SettingSpec, str]:
    """Return the spec of a key, or an error that suggests the closest key."""
    spec = SCHEMA.get(key)
    if spec is not None:
        return Ok(spec)
    closest = difflib.get_close_matches(key, SCHEMA, n=1, cutoff=0)
    return Err(
        f'unknown setting {_quote(key)}; did you mean {closest[0]!r}?'
        if closest
        else f'unknown setting {_quote(key)}; see docs/settings.md'
    )


def value_problem(spec: SettingSpec, value: SettingValue) -> str | None:
    """Return why a value is invalid, or None if it is valid."""
    if is_acceptable(spec, value):
        return None
    shown = 'the value' if spec.is_secret else f'value {_quote(value)}'
    return f'{shown} of {spec.key} is not {spec.expected}'


def is_acceptable(spec: SettingSpec, value: SettingValue) -> bool:
    """Return whether a value has the type and the range of a setting."""
    if not has_kind(spec, value):
        return False
    match value:
        case bool():
            return True
        case int() | float():
            return spec.minimum <= value <= spec.maximum
        case str():
            return _is_text_acceptable(spec, value)
        case tuple():
            return len(value) <= MAX_LIST_LENGTH and all(
                _TOKEN_KEY_PATTERN.fullmatch(entry) for entry in value
            )
    return False


def has_kind(spec: SettingSpec, value: SettingValue) -> bool:
    """Return whether a value has the type of a setting, in any range."""
    match spec.kind:
        case Kind.boolean:
            return isinstance(value, bool)
        case Kind.integer:
            return isinstance(value, int) and not isinstance(value, bool)
        case Kind.number:
            is_number = isinstance(value, int | float)
            return is_number and not isinstance(value, bool)
        case Kind.token_keys:
            return isinstance(value, tuple)
    return isinstance(value, str)


def parse_value(spec: SettingSpec, text: str) -> Result[SettingValue, str]:
    """Parse and validate a value entered by an operator."""
    try:
        value = _PARSERS[spec.kind](text.strip())
    except (KeyError, ValueError):
        value = text
    problem = value_problem(spec, value)
    return Ok(value) if problem is None else Err(problem)


def _is_text_acceptable(spec: SettingSpec, text: str) -> bool:
    if spec.kind is Kind.choice:
        return text in spec.choices
    return _TOKEN_KEY_PATTERN.fullmatch(text) is not None


def _quote(value: SettingValue) -> str:
    text = repr(value)
    if len(text) <= _MAX_QUOTED_CHARACTERS:
        return text
    return f'{text[:_MAX_QUOTED_CHARACTERS]}… ({len(text)} characters)'


def _parse_integer(text: str) -> int:
    return int(text.replace(',', '').replace('_', ''))


def _parse_number(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(text)
    return number


def _parse_token_keys(text: str) -> tuple[str, ...]:
    return tuple(entry.strip() for entry in text.split(',') if entry.strip())


_BOOLEANS = {'true': True, 'false': False}

_PARSERS: Mapping[Kind, Callable[[str], SettingValue]] = {
    Kind.integer: _parse_integer,
    Kind.number: _parse_number,
    Kind.boolean: lambda text: _BOOLEANS[text.lower()],
    Kind.choice: str,
    Kind.token_key: str,
    Kind.token_keys: _parse_token_keys,
}
