"""Request to append a command to the replicated log, and its reply."""

from dataclasses import dataclass

from lavendergate.core.commands import Command
from lavendergate.core.types import SettingsVersion


@dataclass(frozen=True, kw_only=True, slots=True)
class ProposeRequest:
    """Proposes a command for the replicated log."""

    command: Command


@dataclass(frozen=True, kw_only=True, slots=True)
class ProposeReply:
    """Result of a proposed command.

    Parameters
    ----------
    accepted
        Whether the command was committed and accepted by the state machine.
    problem
        Why the command was refused, and how to resolve it.
    leader
        Address of the leader, if the receiver is not the leader.
    index
        Index of the committed entry; 0 if nothing was committed.
    settings_version
        Settings version after the command was applied.
    """

    accepted: bool
    problem: str | None = None
    leader: str | None = None
    index: int = 0
    settings_version: SettingsVersion = SettingsVersion(0)
