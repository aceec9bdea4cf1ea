"""Port to the replicated log, as the controllers use it."""

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
    """Committed state as this host has applied it."""

    index: int = 0
    groups: Mapping[GroupId, GroupRecord] = field(default_factory=dict)
    hosts: Mapping[HostId, HostRecord] = field(default_factory=dict)
    settings: SettingsDocument = field(default_factory=SettingsDocument)


class LogPort(ABC):
    """What the controllers need of the replicated log."""

    @abstractmethod
    async def propose(self, command: Command) -> ProposeReply:
        """Propose a command and return the state machine's answer.

        An accepted answer is given only after `state` reflects the command.
        An answer that is not accepted does not tell whether the command was
        committed, unless `index` is above 0.
        """

    @abstractmethod
    async def wait_for_change(self) -> None:
        """Return after the state, the leader or the quorum changed."""

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
        """Whether the leader reached a majority lately."""

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
        """Control hosts of the present configuration."""
