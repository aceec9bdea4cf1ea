"""Statuses with which a process ends, and the error that names one."""

import enum


@enum.unique
class ExitCode(enum.IntEnum):
    """Status of a process that ends; see docs/operations/exit-codes.md."""

    stopped = 0
    usage = 2
    # An unexpected error that no boundary contained.
    failed = 3
    settings = 4
    address = 5
    storage = 6


class StartRefusedError(Exception):
    """The process cannot serve; the message names the remedy.

    Parameters
    ----------
    exit_code
        Status with which the process ends.
    reason
        What was found, and what to do.
    """

    def __init__(self, *, exit_code: ExitCode, reason: str) -> None:
        super().__init__(reason)
        self.exit_code = exit_code
