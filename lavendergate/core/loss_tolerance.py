"""Losses of hosts that the control group bears."""

from collections.abc import Mapping
from dataclasses import dataclass

from lavendergate.core.commands import ChangeVoters
from lavendergate.core.types import HostId
from lavendergate.core.voter_changes import MAX_VOTERS, NodeProgress

# A host is present if its last answer is not older than this, in seconds: four
# heartbeats, so that one lost message does not count.
_PRESENT_S = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class LossTolerance:
    """Voters, present hosts, and what the group bears.

    Parameters
    ----------
    voters
        Number of voters.
    present
        Number of voters and learners that answer, with the leader.
    borne
        Number of present voters that may be lost before control cannot lead.
    missing
        Voters that do not answer.
    """

    voters: int
    present: int
    borne: int
    missing: tuple[HostId, ...]

    @property
    def possible(self) -> int:
        """Number of losses that the present hosts could bear as voters."""
        return max(0, (min(self.present, MAX_VOTERS) - 1) // 2)

    @property
    def is_reduced(self) -> bool:
        """Whether the group bears less than its present hosts could."""
        return self.borne < self.possible


def loss_tolerance(
    current: ChangeVoters, progress: Mapping[HostId, NodeProgress]
) -> LossTolerance:
    """Return the tolerance that the leader sees.

    Parameters
    ----------
    current
        Configuration in force.
    progress
        Replication state of the nodes other than the leader.
    """
    silent = {
        host_id
        for host_id, node in progress.items()
        if node.since_answer_s > _PRESENT_S
    }
    missing = current.voters & silent
    majority = len(current.voters) // 2 + 1
    return LossTolerance(
        voters=len(current.voters),
        present=len((current.voters | current.learners) - silent),
        borne=max(0, len(current.voters - silent) - majority),
        missing=tuple(sorted(missing)),
    )
