"""Commands for the replicated log, and their answers."""

from dataclasses import dataclass

from lavendergate.core.commands import Command
from lavendergate.core.types import SettingsVersion


@dataclass(frozen=True, kw_only=True, slots=True)
class ProposeRequest:
    """A command for the replicated log."""

    command: Command


@dataclass(frozen=True, kw_only=True, slots=True)
class ProposeReply:
    """Answer of the state machine.

    Parameters
    ----------
    accepted
        Whether the command was committed and accepted by the state machine.
    problem
        Why it was refused, with the remedy.
    leader
        Address of the leader, if the receiver is not the leader.
    index
        Index of the committed entry; 0 if nothing was committed.
    settings_version
        Version of the settings after the command.
    """

    accepted: bool
    problem: str | None = None
    leader: str | None = None
    index: int = 0
    settings_version: SettingsVersion = SettingsVersion(0)
