"""Writes the founding record of a control host before the other imports.

All hosts may be killed at any moment of the first start. Those that come back
found the group only with this record, so it has to be durable early. A thread
writes it, because the disk may be slow, while the modules are imported.
"""

import os
import threading
import tomllib
from contextlib import suppress
from typing import Any

from lavendergate.storage.founding_record import write_founding_record

_LOG_DIRECTORY = 'log'
# Errors of a settings file that does not hold yet, or of an odd one.
_UNUSABLE = (OSError, ValueError, LookupError, TypeError, AttributeError)


def start_founding_record(path: str | None) -> threading.Thread | None:
    """Begin to write the record if the settings say that it is due.

    Parameters
    ----------
    path
        Path of the settings file. A file that does not hold yet is read again
        by the start, which then writes the record itself.

    Returns
    -------
    The thread that writes; None if there is nothing to write.
    """
    if path is None:
        return None
    try:
        with open(path, 'rb') as stream:
            fields = tomllib.load(stream)
        directory, seeds = _founding_of(fields)
    except _UNUSABLE:
        return None
    writer = threading.Thread(target=_write, args=(directory, seeds))
    writer.daemon = True
    writer.start()
    return writer


def _founding_of(fields: dict[str, Any]) -> tuple[str, list[str]]:
    if fields['bootstrap'] is not True:
        raise ValueError('not the first start')
    port = fields['internalPorts'][0]
    seeds = [f'{seed.rpartition(":")[0]}:{port}' for seed in fields['seeds']]
    if f'{fields["ip"]}:{port}' not in seeds:
        raise ValueError('not a seed')
    return os.path.join(fields['dataDir'], _LOG_DIRECTORY), seeds


def _write(directory: str, seeds: list[str]) -> None:
    # The storage, which needs the same disk, reports its errors.
    with suppress(OSError):
        write_founding_record(directory, seeds)
