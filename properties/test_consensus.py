"""The replicated log under random schedules, and with deliberate faults."""

import unittest
from collections.abc import Callable
from unittest import mock

import msgspec

from lavendergate.core.consensus import (
    election,
    membership,
    reads,
    replication,
)
from lavendergate.core.consensus.errors import InvariantViolationError
from lavendergate.core.consensus.log import Log
from lavendergate.core.consensus.types import HardState, Snapshot
from lavendergate.storage.memory import MemoryStorage
from properties.consensus_checks import ViolationError
from properties.consensus_scenarios import (
    commit_older_term,
    read_from_replaced_leader,
    vote_twice,
)
from properties.consensus_schedule import run_schedule
from properties.consensus_simulator import Simulation

_SCHEDULES = 150
_SCHEDULES_WITH_FAULT = 300
_SIZES = (3, 5)

SimulationFactory = Callable[..., Simulation]


class _ForgetsVotes(MemoryStorage):
    """Deliberate fault: a vote is answered before it is synced."""

    def save_hard_state(self, hard_state: HardState) -> None:
        super().save_hard_state(
            msgspec.structs.replace(hard_state, voted_for=None)
        )


class _SyncsLate(MemoryStorage):
    """Deliberate fault: entries are acknowledged before they are synced."""

    def sync(self) -> None:
        if len(self._buffered) > 2:
            super().sync()

    def save_snapshot(self, snapshot: Snapshot, log: Log) -> None:
        super().sync()
        super().save_snapshot(snapshot, log)


def _simulation(*, seed: int, hosts: int) -> Simulation:
    return Simulation(seed=seed, hosts=hosts, entries_per_message=1 + seed % 3)


def find_violation(
    factory: SimulationFactory, schedules: int
) -> tuple[int, int, Exception] | None:
    """Return hosts, seed and error of the first schedule that fails."""
    for seed in range(schedules):
        for hosts in _SIZES:
            try:
                run_schedule(factory(seed=seed, hosts=hosts))
            except (ViolationError, InvariantViolationError) as error:
                return hosts, seed, error
    return None


class ConsensusScheduleTest(unittest.TestCase):
    """Random schedules with a fixed seed over 3 and 5 nodes."""

    def test_properties_hold_under_random_faults(self) -> None:
        """Guards against lost, doubled or reordered entries and two leaders.

        Schedules crash nodes at writes, syncs and messages, cut links in one
        direction, drop, duplicate and reorder messages, lose disks, compact
        logs and change the voters.
        """
        self.assertIsNone(find_violation(_simulation, _SCHEDULES))


class DeliberateFaultTest(unittest.TestCase):
    """Each test guards against a check that misses the fault in its name."""

    def assert_detected(self, factory: SimulationFactory = _simulation) -> None:
        found = find_violation(factory, _SCHEDULES_WITH_FAULT)
        self.assertIsNotNone(found)

    def test_vote_without_sync(self) -> None:
        """Guards against a vote that a crash makes the voter forget."""
        vote_twice(Simulation(seed=0, hosts=3))
        faulty = Simulation(seed=0, hosts=3, storage_type=_ForgetsVotes)
        with self.assertRaisesRegex(ViolationError, 'election safety'):
            vote_twice(faulty)

    def test_acknowledgement_without_sync(self) -> None:
        """Guards against an entry that counts before it is durable."""
        self.assert_detected(
            lambda **options: Simulation(storage_type=_SyncsLate, **options)
        )

    def test_empty_disk_under_the_former_identity(self) -> None:
        """Guards against a host that forgot its votes and still votes."""
        self.assert_detected(
            lambda **options: Simulation(keeps_identity=True, **options)
        )

    def test_candidate_with_an_old_log(self) -> None:
        """Guards against a leader without the committed entries."""
        with mock.patch.object(
            election, 'is_up_to_date', lambda state, last: True
        ):
            self.assert_detected()

    def test_commit_of_older_terms_by_counting(self) -> None:
        """Guards against the commit of an entry that can be overwritten."""
        commit_older_term(Simulation(seed=0, hosts=3, entries_per_message=1))
        faulty = Simulation(seed=0, hosts=3, entries_per_message=1)
        fault = mock.patch.object(
            replication, 'is_committable', lambda state, index: True
        )
        with fault, self.assertRaisesRegex(ViolationError, 'completeness'):
            commit_older_term(faulty)

    def test_read_without_confirmation(self) -> None:
        """Guards against a read from a leader that was replaced."""
        read_from_replaced_leader(Simulation(seed=0, hosts=3))
        fault = mock.patch.object(
            reads, '_confirmed_round', lambda state, role: role.read_round
        )
        with fault, self.assertRaisesRegex(ViolationError, 'stale read'):
            read_from_replaced_leader(Simulation(seed=0, hosts=3))

    def test_unrestricted_configuration_change(self) -> None:
        """Guards against two configurations with separate majorities."""
        with mock.patch.object(
            membership,
            'problem_with_change',
            lambda state, role, current, voters: None,
        ):
            self.assert_detected()
