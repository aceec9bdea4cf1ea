"""Tests of session values at each statement that runs at a member."""

import unittest
from collections.abc import Awaitable, Callable
from functools import partial

import anyio

from lavendergate.core.sessions.state import ConnectionState, SessionState
from lavendergate.core.sessions.statements import (
    AccessKind,
    Begin,
    CallerStatement,
    Commit,
    Completed,
    Execute,
    Phase,
    Prepare,
    Read,
    RefusalCode,
    Refused,
    ResetSession,
    Rollback,
    SessionAnswer,
    SetValue,
    Shape,
    Write,
)
from lavendergate.filters.sessions.base import CallerSession
from lavendergate.tests import relay_fixture
from lavendergate.tests.relay_fixture import RelayFixture
from lavendergate.tests.session_fixture import (
    BOUNDED,
    PRIMARY,
    SessionFixture,
    play,
)
from standin.session_group import SessionGroup

_SHAPE = Shape(access=AccessKind.write, text='q1')
Scenario = Callable[[SessionFixture], Awaitable[None]]


def code(answer: SessionAnswer) -> RefusalCode | None:
    """Return the code of a refusal."""
    outcome = answer.outcome
    return outcome.code if isinstance(outcome, Refused) else None


def set_step(value: str) -> SetValue:
    """Return a statement that sets a value of the session."""
    return SetValue(name='step', value=value)


async def send_all(
    proxy: SessionFixture, session: CallerSession, *statements: CallerStatement
) -> SessionAnswer:
    """Send statements that succeed; return the last answer."""
    for statement in statements:
        answer = await proxy.send(session, statement)
        assert isinstance(answer.outcome, Completed), answer
    return answer


def values_at(group: SessionGroup, kind: type) -> list[str | None]:
    """Return the value `step` at each execution of statements of a kind."""
    return [
        run.values.get('step')
        for member in group.members.values()
        for run in member.executions
        if isinstance(run.statement, kind)
    ]


class TransactionValuesTest(unittest.TestCase):
    """Values that are set between the statements of a transaction."""

    def test_commit_runs_with_the_last_acknowledged_value(self) -> None:
        """Guards against a COMMIT without a value that was set before it."""

        async def scenario(database: str, proxy: SessionFixture) -> None:
            session = CallerSession(database=database)
            is_read_only = database == BOUNDED
            work = (
                Read(item='x') if is_read_only else Write(item='x', content='1')
            )
            for value in ('1', '2'):
                await send_all(
                    proxy,
                    session,
                    Begin(read_only=is_read_only),
                    work,
                    set_step(value),
                    Commit(),
                )
            self.assertEqual(values_at(proxy.group, Commit), ['1', '2'])

        for database in (PRIMARY, BOUNDED):
            with self.subTest(database=database):
                play(partial(scenario, database))

    def test_commit_through_a_home_has_the_value(self) -> None:
        """Guards against a home that runs a COMMIT with former values."""

        async def scenario(fleet: RelayFixture) -> None:
            proxy = fleet.others('a')[0]
            session = CallerSession(database=PRIMARY)
            await send_all(
                proxy,
                session,
                Begin(),
                Write(item='x', content='1'),
                set_step('1'),
                Commit(),
            )
            self.assertEqual(values_at(fleet.group, Commit), ['1'])

        relay_fixture.play(scenario)

    def test_rollback_runs_with_the_last_acknowledged_value(self) -> None:
        """Guards against a ROLLBACK with former values."""

        async def scenario(proxy: SessionFixture) -> None:
            session = CallerSession(database=PRIMARY)
            await send_all(
                proxy, session, Begin(), Write(item='x', content='1')
            )
            connection = session.transaction
            assert connection is not None
            pooled = connection.connection
            assert pooled is not None
            await send_all(proxy, session, set_step('1'), Rollback())
            self.assertEqual(pooled.values, {'step': '1'})

        play(scenario)

    def test_replay_after_a_refusal_has_the_value(self) -> None:
        """Guards against a repeated COMMIT on a connection without values."""

        async def scenario(proxy: SessionFixture) -> None:
            session = CallerSession(database=PRIMARY)
            await send_all(
                proxy,
                session,
                Prepare(name='s1', shape=_SHAPE),
                Begin(),
                Execute(name='s1', item='x', content='1'),
                set_step('1'),
            )
            member = proxy.group.member('a')
            member.refusals = [RefusalCode.no_statement, RefusalCode.busy]
            await proxy.send(session, Rollback())
            member.refusals = [RefusalCode.busy]
            await send_all(
                proxy,
                session,
                Begin(),
                Execute(name='s1', item='x', content='2'),
                set_step('2'),
            )
            member.refusals = [RefusalCode.busy]
            await send_all(proxy, session, Commit())
            self.assertEqual(values_at(proxy.group, Commit), ['2'])

        play(scenario)


class ValueThatCannotBeAppliedTest(unittest.TestCase):
    """COMMIT whose session value the member does not confirm."""

    def test_commit_without_its_value_is_aborted(self) -> None:
        """Guards against a COMMIT that runs all the same, or UNKNOWN."""

        async def scenario(proxy: SessionFixture) -> None:
            session = CallerSession(database=PRIMARY)
            await send_all(
                proxy, session, Begin(), Write(item='x', content='1')
            )
            await send_all(proxy, session, set_step('1'))
            proxy.group.member('a').is_silent = True
            began_at = anyio.current_time()
            answer = await proxy.send(session, Commit())
            waited_s = anyio.current_time() - began_at
            self.assertEqual(code(answer), RefusalCode.aborted)
            self.assertEqual(answer.phase, Phase.idle)
            # The value and the COMMIT share one time limit. The rollback of
            # the broken connection takes none.
            self.assertLessEqual(waited_s, 0.81)
            self.assertEqual(values_at(proxy.group, Commit), [])

        play(scenario)


class ConnectionStateTest(unittest.TestCase):
    """What has to run on a connection before a statement."""

    def test_steps_end_with_the_state_of_the_session(self) -> None:
        """Guards against values and names of another session."""
        connection = ConnectionState(
            values={'role': 'other', 'zone': '1'}, prepared={'p0'}
        )
        state = SessionState(values={'role': 'crew'}, prepared={'s1': _SHAPE})
        statement = Execute(name='s1', item='x', content='1')
        steps = []
        step = connection.next_step(state, statement)
        while step is not None:
            steps.append(type(step))
            connection.record(step)
            step = connection.next_step(state, statement)
        self.assertEqual(steps, [ResetSession, SetValue, Prepare])
        self.assertEqual(connection.values, {'role': 'crew'})
        self.assertIsNone(connection.next_step(state, Commit()))
