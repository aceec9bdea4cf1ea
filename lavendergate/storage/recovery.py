"""Deletes a damaged log, so that the host rejoins with a new identity."""

from pathlib import Path

from lavendergate.core.types import HostId
from lavendergate.storage.base import DamagedFileError
from lavendergate.storage.files import FileStorage
from lavendergate.storage.founding_record import remove_founding_record


def open_or_reset(
    directory: Path, host_id: HostId
) -> tuple[FileStorage, str | None]:
    """Return the storage in a directory, after emptying it if damaged.

    A host that continued with a damaged log could have lost a vote that it
    cast or an entry that it acknowledged. With an empty directory it gets a
    new identity, and the control group treats it as a host that lost its
    disk.

    Parameters
    ----------
    directory
        Data directory of the log.
    host_id
        Host that owns the directory.

    Returns
    -------
    The storage, not yet loaded, and a description of the damage; None if
    there was none.

    Raises
    ------
    StorageError, OSError
        If the storage cannot be used for another reason. A record that this
        build cannot read is no damage; the files are kept.
    """
    storage = FileStorage(directory=directory, host_id=host_id)
    try:
        storage.load()
    except DamagedFileError as error:
        # The reset host may have helped to found a group that it forgot.
        remove_founding_record(directory)
        # The identity is deleted first: without it, the other files are
        # ignored, so a crash in between leaves a valid empty storage.
        for name in ('identity', 'log', 'snapshot'):
            (directory / name).unlink(missing_ok=True)
        return FileStorage(directory=directory, host_id=host_id), str(error)
    storage.close()
    return FileStorage(directory=directory, host_id=host_id), None
