"""Writes the founding record of a control host before the other imports.

All hosts may be killed at any moment of the first start. Those that come back
found the group only with this record, so it has to be durable early. The role
needs the record before it runs, so the process waits for the disk here.

The module `tomllib` takes longer to import than all that runs before it, so a
settings file in the usual form is read without it.
"""

import os

from lavendergate.storage.founding_record import write_founding_record

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any

_LOG_DIRECTORY = 'log'
_ADDRESS_CHARACTERS = frozenset('0123456789.:')
# Errors of a settings file that does not hold yet, or of an odd one.
_UNUSABLE = (OSError, ValueError, LookupError, TypeError, AttributeError)


def write_early_record(path: str | None) -> None:
    """Write the record if the settings say that it is due.

    Parameters
    ----------
    path
        Path of the settings file. A file that does not hold yet is read again
        by the start, which then writes the record itself.
    """
    if path is None:
        return
    try:
        with open(path, encoding='utf-8') as stream:
            directory, seeds = _founding_of(stream.read())
        write_founding_record(directory, seeds)
    except _UNUSABLE:
        # The storage, which needs the same disk, reports its errors.
        return


def _founding_of(content: str) -> tuple[str, list[str]]:
    try:
        fields = read_plain_fields(content)
    except _UNUSABLE:
        import tomllib  # noqa: WPS433

        fields = tomllib.loads(content)
    if fields['bootstrap'] is not True:
        raise ValueError('not the first start')
    port = fields['internalPorts'][0]
    seeds = [f'{seed.rpartition(":")[0]}:{port}' for seed in fields['seeds']]
    if f'{fields["ip"]}:{port}' not in seeds:
        raise ValueError('not a seed')
    return os.path.join(fields['dataDir'], _LOG_DIRECTORY), seeds


def read_plain_fields(content: str) -> 'dict[str, Any]':
    """Return what founding needs of a settings file in the usual form.

    That form has one top-level field a line, before the first section.

    Raises
    ------
    ValueError or LookupError
        If the file has another form, which does not make it invalid.
    """
    lines: dict[str, str] = {}
    for line in content.split('\n'):
        if line.startswith('['):
            break
        name, _, text = line.partition('=')
        lines[name.strip()] = text.strip()
    flags = {'true': True, 'false': False}
    ports = _unwrapped(lines['internalPorts'], '[', ']').split(',')
    seeds = _unwrapped(lines['seeds'], '[', ']').split(',')
    return {
        'bootstrap': flags[lines['bootstrap']],
        'internalPorts': [int(port) for port in ports],
        'seeds': [_address(seed.strip()) for seed in seeds],
        'ip': _address(lines['ip']),
        'dataDir': _quoted(lines['dataDir']),
    }


def _unwrapped(text: str, begin: str, end: str) -> str:
    if len(text) < 2 or not (text.startswith(begin) and text.endswith(end)):
        raise ValueError(f'{text!r}: expected {begin}...{end}')
    return text[1:-1]


def _quoted(text: str) -> str:
    content = _unwrapped(text, '"', '"')
    if not content or '"' in content or '\\' in content:
        raise ValueError(f'{text!r}: expected a string without escapes')
    return content


def _address(text: str) -> str:
    content = _quoted(text)
    if not _ADDRESS_CHARACTERS.issuperset(content):
        raise ValueError(f'{text!r}: expected an address')
    return content
