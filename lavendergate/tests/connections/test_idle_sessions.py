"""Tests of the sessions that give way to new ones."""

import unittest

import anyio

from lavendergate.core.sessions.statements import Begin, Completed, Read
from lavendergate.tests.session_fixture import OWN
from lavendergate.tests.test_session_service import ServiceFixture, play


class IdleSessionTest(unittest.TestCase):
    """Sessions of a host that is full."""

    def test_session_with_the_oldest_answer_is_closed_first(self) -> None:
        """Guards against closing a session that is in use."""

        async def scenario(proxy: ServiceFixture) -> None:
            sessions = [proxy.connect(OWN) for _ in range(3)]
            for session in sessions:
                session.send(Read(item='x'))
                await anyio.sleep(0.1)
            first, second, third = sessions
            first.send(Read(item='x'))
            await anyio.sleep(0.1)
            second.send(Begin())
            await anyio.sleep(0.1)
            self.assertTrue(proxy.service.close_oldest_idle())
            await anyio.sleep(0.1)
            self.assertEqual(
                [session.is_closed for session in sessions],
                [False, False, True],
            )
            self.assertTrue(proxy.service.close_oldest_idle())
            self.assertFalse(proxy.service.close_oldest_idle())
            await anyio.sleep(0.1)
            self.assertTrue(first.is_closed)
            self.assertFalse(second.is_closed)

        play(scenario)

    def test_statement_on_its_way_is_answered_before_the_close(self) -> None:
        """Guards against a statement that is lost with an idle session."""

        async def scenario(proxy: ServiceFixture) -> None:
            caller = proxy.connect(OWN)
            caller.send(Read(item='x'))
            await anyio.sleep(0.1)
            self.assertTrue(proxy.service.close_oldest_idle())
            await anyio.sleep(0.01)
            caller.send(Read(item='x'))
            await anyio.sleep(0.1)
            self.assertEqual(len(caller.answers), 2)
            self.assertIsInstance(caller.answers[1].outcome, Completed)

        play(scenario)
