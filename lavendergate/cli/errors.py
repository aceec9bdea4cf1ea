"""Exit codes and errors of the command-line tool."""

import enum


@enum.unique
class ExitCode(enum.IntEnum):
    """Exit codes of `lavendergatectl`."""

    ok = 0
    problem = 1
    usage = 2
    unreachable = 3


class CommandError(Exception):
    """Error that ends a command with a message and an exit code."""

    def __init__(self, message: str, exit_code: ExitCode) -> None:
        super().__init__(message)
        self.exit_code = exit_code


def problem_error(message: str) -> CommandError:
    """Return the error for a refused change or a problem found."""
    return CommandError(message, ExitCode.problem)


def usage_error(message: str) -> CommandError:
    """Return the error for a wrong argument."""
    return CommandError(message, ExitCode.usage)


def unreachable_error(message: str) -> CommandError:
    """Return the error for control hosts that do not answer."""
    return CommandError(message, ExitCode.unreachable)
