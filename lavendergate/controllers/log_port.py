"""Interface of the replicated log for the controllers."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass, field

from lavendergate.core.commands import Command
from lavendergate.core.records import GroupRecord, HostRecord
from lavendergate.core.settings.document import SettingsDocument
from lavendergate.core.types import GroupId, HostId
from lavendergate.rpc.messages import ControlHostStatus
from lavendergate.rpc.proposals import ProposeReply


@dataclass(frozen=True, kw_only=True, slots=True)
class LogState:
    """Committed state that this host has applied.

    Parameters
    ----------
    index
        Index of the last applied entry.
    """

    index: int = 0
    groups: Mapping[GroupId, GroupRecord] = field(default_factory=dict)
    hosts: Mapping[HostId, HostRecord] = field(default_factory=dict)
    settings: SettingsDocument = field(default_factory=SettingsDocument)


class LogPort(ABC):
    """Interface of the replicated log for the controllers."""

    @abstractmethod
    async def propose(self, command: Command) -> ProposeReply:
        """Propose a command and return the state machine's answer.

        An accepted reply is returned only after `state` reflects the
        command. If a reply is not accepted and its `index` is above 0, the
        state machine refused the committed command; if `index` is 0, it is
        unknown whether the command was or will be committed.
        """

    @abstractmethod
    async def wait_for_change(self) -> None:
        """Wait until the state, the leader or the quorum changes."""

    @property
    @abstractmethod
    def is_leader(self) -> bool:
        """Whether this host leads the replicated log."""

    @property
    @abstractmethod
    def leader_address(self) -> str | None:
        """Address of the leader, ``ip:port``, if it is known."""

    @property
    @abstractmethod
    def has_quorum(self) -> bool:
        """Whether the host leads with a majority, or follows a leader."""

    @property
    @abstractmethod
    def epoch(self) -> int:
        """Consensus term, which increases with each leader."""

    @property
    @abstractmethod
    def state(self) -> LogState:
        """State up to the last applied entry."""

    @property
    @abstractmethod
    def control_hosts(self) -> tuple[ControlHostStatus, ...]:
        """Control hosts of the current configuration."""
