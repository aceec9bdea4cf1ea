"""Record that a host may take part in founding the control group.

It is written at the first start of the whole system, before anything else,
and stays in the directory of the log until the host belongs to a group. A host
without it, such as one that lost its disk, founds none.

Only small modules are imported, because the record is written before the other
imports of the process.
"""

import os
from collections.abc import Iterable

from lavendergate.storage.frame_encoding import encode_frame

TYPE_CHECKING = False
if TYPE_CHECKING:
    from pathlib import Path

_FILE_NAME = 'founding'
_FORMAT = 'founding 1'
_FILE_MODE = 0o600
_DIRECTORY_FLAGS = os.O_RDONLY | os.O_DIRECTORY


def write_founding_record(
    directory: 'str | Path', seeds: Iterable[str]
) -> None:
    """Write the record durably, unless there is one.

    Parameters
    ----------
    directory
        Directory of the log; created if it is missing.
    seeds
        Addresses of the hosts that found the group, ``ip:port``.

    Raises
    ------
    OSError
        If the record cannot be written or synced.
    """
    path = os.path.join(directory, _FILE_NAME)
    if os.path.exists(path):
        return
    os.makedirs(directory, exist_ok=True)
    content = '\n'.join((_FORMAT, *sorted(seeds))).encode()
    descriptor = os.open(
        f'{path}.new', os.O_WRONLY | os.O_CREAT | os.O_TRUNC, _FILE_MODE
    )
    with os.fdopen(descriptor, 'wb') as stream:
        stream.write(encode_frame(content))
        stream.flush()
        os.fsync(descriptor)
    os.replace(f'{path}.new', path)
    _sync_directory(directory)
    _sync_directory(os.path.dirname(directory))


def read_founding_record(directory: 'Path') -> tuple[str, ...]:
    """Return the sorted seeds; empty without a valid record."""
    from lavendergate.storage.framing import decode_frame  # noqa: WPS433

    try:
        frame = decode_frame((directory / _FILE_NAME).read_bytes(), 0)
    except OSError:
        return ()
    lines = (frame.content or b'').decode('utf-8', 'replace').split('\n')
    return tuple(lines[1:]) if lines[0] == _FORMAT else ()


def remove_founding_record(directory: 'Path') -> None:
    """Remove the record durably.

    Raises
    ------
    OSError
        If the record cannot be removed or the directory cannot be synced.
    """
    path = directory / _FILE_NAME
    if path.exists():
        path.unlink()
        _sync_directory(directory)


def _sync_directory(directory: 'str | Path') -> None:
    descriptor = os.open(directory, _DIRECTORY_FLAGS)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
