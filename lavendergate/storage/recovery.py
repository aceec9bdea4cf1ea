"""Sets a damaged log aside, so that the host joins again as a new one."""

from pathlib import Path

import msgspec

from lavendergate.core.types import HostId
from lavendergate.storage.base import DamagedFileError
from lavendergate.storage.files import FileStorage


def open_or_replace(
    directory: Path, host_id: HostId
) -> tuple[FileStorage, str | None]:
    """Return the storage in a directory, emptied if it is damaged.

    A host that continued with a damaged log could have forgotten a vote or
    an entry that it confirmed. With an empty directory it gets another
    identity, and the group treats it as a host that lost its disk.

    Parameters
    ----------
    directory
        Data directory of the log.
    host_id
        Host that owns the directory.

    Returns
    -------
    The storage, and what was damaged.
    """
    storage = FileStorage(directory=directory, host_id=host_id)
    try:
        storage.load()
    except (DamagedFileError, msgspec.MsgspecError) as error:
        # The identity goes first: files without one count as an empty disk.
        for name in ('identity', 'log', 'snapshot'):
            (directory / name).unlink(missing_ok=True)
        return FileStorage(directory=directory, host_id=host_id), str(error)
    storage.close()
    return FileStorage(directory=directory, host_id=host_id), None
