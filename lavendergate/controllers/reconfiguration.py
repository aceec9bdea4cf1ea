"""Stepwise changes of the voters of the replicated log."""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

import anyio
from result import Err, Ok, Result

from lavendergate.controllers.consensus import ConsensusDriver
from lavendergate.core.commands import ChangeVoters
from lavendergate.core.consensus.errors import (
    ChangeRefused,
    ConsensusFailure,
    NotLeader,
)
from lavendergate.core.consensus.state import Leader
from lavendergate.core.types import HostId
from lavendergate.rpc.consensus_service import ControlHost

ChangeResult = Result[None, ConsensusFailure]

_CATCH_UP_INTERVAL_S = 0.05
_CATCH_UP_TIMEOUT_S = 60.0
# A learner that lacks no more entries than this keeps up with the rate at
# which the leader appends.
_CAUGHT_UP_ENTRIES = 16


def first_configuration(hosts: tuple[ControlHost, ...]) -> ChangeVoters:
    """Return the command that sets the first configuration."""
    return ChangeVoters(
        voters=frozenset(host.host_id for host in hosts),
        learners=frozenset(),
        addresses={host.host_id: host.address for host in hosts},
        incarnations={host.host_id: host.incarnation for host in hosts},
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class Reconfiguration:
    """Changes the configuration through the leader.

    Parameters
    ----------
    driver
        Driver of the leader.
    lock
        Held during a change, so that the steps of two changes do not
        interleave.
    """

    driver: ConsensusDriver
    lock: anyio.Lock

    async def replace(self, old: HostId, new: ControlHost) -> ChangeResult:
        """Replace a voter.

        The new host is added as a learner, catches up, becomes a voter, and
        then the old voter is removed. If the new host has the id of the old
        one, the old voter is removed first: it has lost its disk and does not
        answer, so keeping it would not help to form a majority.

        Parameters
        ----------
        old
            Voter to remove.
        new
            Host to add.
        """
        steps = [
            lambda: self._add_learner(new),
            lambda: self._catch_up(new),
            lambda: self._make_voter(new),
        ]
        if new.host_id == old:
            steps.insert(0, lambda: self._remove_former_incarnation(new))
        else:
            steps.append(lambda: self._remove(old))
        async with self.lock:
            return await _run_steps(steps)

    async def _add_learner(self, new: ControlHost) -> ChangeResult:
        current = self._current()
        known = current.incarnations.get(new.host_id)
        if known is not None and known != new.incarnation:
            return Err(
                ChangeRefused(
                    problem=(
                        f'host {new.host_id} is configured with incarnation '
                        f'{known}: replace that one by the new one, or give '
                        'the new host another id'
                    )
                )
            )
        if known is not None:
            return Ok(None)
        return await self._propose(
            ChangeVoters(
                voters=current.voters,
                learners=current.learners | {new.host_id},
                addresses=current.addresses | {new.host_id: new.address},
                incarnations=(
                    current.incarnations | {new.host_id: new.incarnation}
                ),
            )
        )

    async def _make_voter(self, new: ControlHost) -> ChangeResult:
        current = self._current()
        if new.host_id in current.voters:
            return Ok(None)
        return await self._propose(
            ChangeVoters(
                voters=current.voters | {new.host_id},
                learners=current.learners - {new.host_id},
                addresses=current.addresses,
                incarnations=current.incarnations,
            )
        )

    async def _remove_former_incarnation(
        self, new: ControlHost
    ) -> ChangeResult:
        known = self._current().incarnations.get(new.host_id)
        if known == new.incarnation:
            return Ok(None)
        return await self._remove(new.host_id)

    async def _remove(self, host_id: HostId) -> ChangeResult:
        current = self._current()
        if host_id not in current.voters | current.learners:
            return Ok(None)
        return await self._propose(
            ChangeVoters(
                voters=current.voters - {host_id},
                learners=current.learners - {host_id},
                addresses=_without(current.addresses, host_id),
                incarnations=_without(current.incarnations, host_id),
            )
        )

    async def _catch_up(self, new: ControlHost) -> ChangeResult:
        with anyio.move_on_after(_CATCH_UP_TIMEOUT_S):
            while True:
                missing = self._missing_entries(new)
                if missing is None:
                    return Err(NotLeader(leader=None))
                if missing <= _CAUGHT_UP_ENTRIES:
                    return Ok(None)
                await anyio.sleep(_CATCH_UP_INTERVAL_S)
        return Err(
            ChangeRefused(
                problem=(
                    f'learner {new.host_id} did not catch up within '
                    f'{_CATCH_UP_TIMEOUT_S:.0f} s: check that it runs at '
                    f'{new.address} and repeat the command'
                )
            )
        )

    def _missing_entries(self, new: ControlHost) -> int | None:
        node = self.driver.node
        if not isinstance(node.role, Leader):
            return None
        for known, progress in node.role.progress.items():
            if known.host_id == new.host_id:
                return node.log.last.index - progress.match_index
        return 0

    def _current(self) -> ChangeVoters:
        current = self.driver.node.configuration
        if current is None:
            return first_configuration(())
        return current.command

    async def _propose(self, command: ChangeVoters) -> ChangeResult:
        proposed = await self.driver.propose(command)
        return proposed.map(lambda answer: None)


async def _run_steps(
    steps: Sequence[Callable[[], Awaitable[ChangeResult]]],
) -> ChangeResult:
    for perform in steps:
        changed = await perform()
        if isinstance(changed, Err):
            return changed
    return Ok(None)


def _without(mapping: dict[HostId, str], host_id: HostId) -> dict[HostId, str]:
    return {key: kept for key, kept in mapping.items() if key != host_id}
