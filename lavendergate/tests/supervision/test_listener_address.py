"""Tests of listeners whose address is taken."""

import socket
import unittest

from lavendergate.frontend.caller_channel import CallerChannel
from lavendergate.observability.log import MemoryEventLog
from lavendergate.platform.callers import serve_callers
from lavendergate.supervision.boundary import Boundary


async def _serve(channel: CallerChannel) -> None:
    """Serve nothing."""


class TakenAddressTest(unittest.IsolatedAsyncioTestCase):
    """Listeners of callers."""

    async def test_taken_address_is_a_plain_error(self) -> None:
        """Guards against a group of errors, which no retry recognizes."""
        with socket.socket() as taken:
            taken.bind(('127.0.0.1', 0))
            taken.listen()
            address = f'127.0.0.1:{taken.getsockname()[1]}'
            with self.assertRaises(OSError):
                await serve_callers(
                    address, _serve, boundary=Boundary(events=MemoryEventLog())
                )
