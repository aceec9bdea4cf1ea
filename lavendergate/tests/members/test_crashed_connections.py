"""Tests of the connections of a member of the stand-in that crashes."""

import unittest

import anyio

from lavendergate.backends.sessions import AnswerLostError
from lavendergate.core.sessions.statements import ReportStatus
from standin.session_group import GroupDialer, SessionGroup


class CrashedConnectionTest(unittest.TestCase):
    """A connection belongs to one start of a member."""

    def test_connection_ends_with_the_start_that_it_was_opened_to(self) -> None:
        """Guards against a stand-in whose connections survive a crash.

        A proxy takes an answer on an old connection as evidence that the
        member has not been restarted.
        """

        async def scenario() -> None:
            group = SessionGroup(names=('a', 'b'))
            member = group.member('b')
            dialer = GroupDialer(groups=(group,))
            former, _ = await dialer.dial(member.entry)
            member.is_down = True
            member.is_down = False
            with self.assertRaises(AnswerLostError):
                await former.request_report(ReportStatus())
            following, _ = await dialer.dial(member.entry)
            await following.request_report(ReportStatus())

        anyio.run(scenario)


if __name__ == '__main__':
    unittest.main()
