"""Random schedules of transactions through home proxies that freeze."""

import unittest
from contextlib import ExitStack
from unittest import mock

from lavendergate.controllers.relays import session as relayed_session
from lavendergate.controllers.relays.link import RelayLink
from lavendergate.controllers.relays.transaction import (
    NoTransaction,
    RelayedTransactionState,
    next_transaction,
)
from lavendergate.core.relays.clock_offset import ClockSample, RemoteClock
from lavendergate.core.sessions.state import (
    ConnectionState,
    SessionState,
    StateStep,
)
from lavendergate.core.sessions.statements import Commit, Statement
from lavendergate.filters.relays import home
from lavendergate.rpc.relay_service import RelayReply
from properties.relay_schedule import RelaySchedule, run_schedule

_SCHEDULES = 16


def forget_without_phase(
    state: RelayedTransactionState, link: RelayLink, reply: RelayReply
) -> RelayedTransactionState:
    """Deliberate fault: a reply without a phase ends the transaction."""
    if reply.phase is None:
        return NoTransaction()
    return next_transaction(state, link, reply)


def take_any_sample(clock: RemoteClock, sample: ClockSample) -> None:
    """Deliberate fault: an answer tells the time however long it waited."""
    clock._sample = sample


def refused_commits_go_elsewhere() -> ExitStack:
    """Deliberate faults: a proxy forgets the transaction of a late COMMIT."""
    faults = ExitStack()
    for target, name, fault in (
        (relayed_session, 'next_transaction', forget_without_phase),
        (
            relayed_session.RelayedSession,
            '_lacks_transaction',
            lambda *_: False,
        ),
        (RemoteClock, 'record', take_any_sample),
    ):
        faults.enter_context(mock.patch.object(target, name, fault))
    return faults


class RelayScheduleTest(unittest.TestCase):
    """Statements run where their transaction is, with the session's values."""

    def test_outcome_of_each_transaction_is_truthful(self) -> None:
        """Guards against a COMMIT elsewhere or with values of another time."""
        played = [run_schedule(seed) for seed in range(_SCHEDULES)]
        for schedule in played:
            self.assertFalse(schedule.problems, f'seed {schedule.seed}')
        acknowledged = sum(schedule.acknowledged for schedule in played)
        unknown = sum(schedule.unknown for schedule in played)
        self.assertGreater(acknowledged, 40 * _SCHEDULES)
        self.assertGreater(unknown, 0)

    def test_transaction_forgotten_by_its_proxy_is_found(self) -> None:
        """Guards against schedules in which no refused COMMIT is repeated."""
        with (
            refused_commits_go_elsewhere(),
            mock.patch.object(home, '_ENDS_TRANSACTION', ()),
        ):
            found = self._first_problem()
        self.assertIsNotNone(found)

    def test_home_alone_keeps_a_commit_from_running_elsewhere(self) -> None:
        """Guards against a home that believes a proxy that is wrong."""
        with refused_commits_go_elsewhere():
            for seed in range(_SCHEDULES):
                schedule = run_schedule(seed)
                outside = [
                    problem
                    for problem in schedule.problems
                    if 'outside' in problem
                ]
                self.assertFalse(outside, f'seed {seed}')

    def test_commit_with_former_values_is_found(self) -> None:
        """Guards against schedules in which no value precedes a COMMIT."""
        next_step = ConnectionState.next_step

        def skip_at_commit(
            connection: ConnectionState,
            state: SessionState,
            statement: Statement,
        ) -> StateStep | None:
            if isinstance(statement, Commit):
                return None
            return next_step(connection, state, statement)

        with mock.patch.object(ConnectionState, 'next_step', skip_at_commit):
            self.assertIsNotNone(self._first_problem())

    def _first_problem(self) -> RelaySchedule | None:
        for seed in range(_SCHEDULES):
            schedule = run_schedule(seed)
            if schedule.problems:
                return schedule
        return None


if __name__ == '__main__':
    unittest.main()
