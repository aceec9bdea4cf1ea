"""Tests of the estimate of a home's clock."""

import unittest

import anyio
import trio
from trio.testing import MockClock

from lavendergate.controllers.relays.link import RelayLink
from lavendergate.core.relays.clock_offset import ClockSample, RemoteClock
from lavendergate.core.types import UpstreamId
from lavendergate.observability.log import MemoryEventLog
from lavendergate.rpc.relay_service import (
    RelayedCommit,
    RelayReply,
    RelayRequest,
    RelayStatus,
)
from lavendergate.rpc.relay_transport import RelayTransport

_HOME_AHEAD_S = 1000.0


class _Host:
    """Clock of a host that can be suspended, in seconds."""

    def __init__(self) -> None:
        self.suspended_s = 0.0

    def now(self) -> float:
        return anyio.current_time() + self.suspended_s


class _Home(RelayTransport):
    """Home whose replies wait while the host that asks is suspended."""

    def __init__(self, *, host: _Host) -> None:
        self._host = host
        self.suspend_s = 0.0
        self.hellos = 0

    def now(self) -> float:
        return self._host.now() + _HOME_AHEAD_S

    async def run(self, address: str, request: RelayRequest) -> RelayReply:
        await anyio.sleep(0.02)
        reply = RelayReply(
            status=RelayStatus.not_run, now_ms=round(self.now() * 1000)
        )
        self._suspend()
        return reply

    async def read_time_ms(self, address: str) -> int:
        self.hellos += 1
        await anyio.sleep(0.002)
        now_ms = round(self.now() * 1000)
        self._suspend()
        return now_ms

    def disconnect(self, address: str) -> None:
        """Do nothing; there is no connection."""

    def _suspend(self) -> None:
        self._host.suspended_s += self.suspend_s
        self.suspend_s = 0


def _request(link: RelayLink) -> RelayRequest:
    return RelayRequest(
        upstream_id=UpstreamId('a'),
        born=1,
        statement=RelayedCommit(),
        values={},
        request_id=None,
        after=None,
        transaction=1,
        expires_at_ms=link.expires_at_ms(1),
    )


class LinkClockTest(unittest.TestCase):
    """Expiries on the clock of a home."""

    def test_reply_that_waited_during_a_freeze_tells_no_time(self) -> None:
        """Guards against statements that expire before they are sent.

        A reply that waited in the socket of a frozen proxy made the home's
        clock seem to be behind by the time of the freeze.
        """

        async def scenario(host: _Host, home: _Home, link: RelayLink) -> None:
            await link.connect()
            home.suspend_s = 1.2
            await link.run(_request(link))
            expires_in_s = link.expires_at_ms(0.5) / 1000 - home.now()
            self.assertLess(expires_in_s, 0.501)
            self.assertGreater(expires_in_s, 0.45)

        self._play(scenario)

    def test_freeze_during_the_hello_leaves_the_home_unused(self) -> None:
        """Guards against a first estimate that is wrong by a freeze."""

        async def scenario(host: _Host, home: _Home, link: RelayLink) -> None:
            home.suspend_s = 1.2
            with self.assertRaises(Exception):
                await link.connect()
            self.assertEqual(link.expires_at_ms(0.5), 0)
            await link.connect()
            self.assertGreater(link.expires_at_ms(0.5) / 1000, home.now() + 0.4)

        self._play(scenario)

    def test_old_estimate_is_renewed(self) -> None:
        """Guards against the clock of a host that was replaced since."""

        async def scenario(host: _Host, home: _Home, link: RelayLink) -> None:
            await link.connect()
            host.suspended_s += 60
            await link.connect()
            self.assertEqual(home.hellos, 2)

        self._play(scenario)

    def _play(self, scenario: object) -> None:
        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                host = _Host()
                home = _Home(host=host)
                link = RelayLink(
                    address='10.0.1.1:7440',
                    transport=home,
                    tasks=tasks,
                    real_clock=host.now,
                    events=MemoryEventLog(),
                )
                await scenario(host, home, link)  # type: ignore[operator]
                tasks.cancel_scope.cancel()

        trio.run(run, clock=MockClock(autojump_threshold=0))


def _sample(sent_at: float, received_at: float, ahead_s: float) -> ClockSample:
    """Return a sample of a home that read its clock at the latest moment."""
    return ClockSample(
        sent_at=sent_at,
        received_at=received_at,
        remote_time=received_at + ahead_s,
    )


class RemoteClockTest(unittest.TestCase):
    """Samples of another host's clock."""

    def test_estimate_is_never_too_high(self) -> None:
        """Guards against a statement that runs after its caller gave up."""
        clock = RemoteClock()
        clock.record(_sample(10, 10.01, 5))
        for now in (10.01, 12, 39):
            estimate = clock.earliest_time(now)
            assert estimate is not None
            self.assertLessEqual(estimate, now + 5)
            self.assertGreater(estimate, now + 4.98)

    def test_less_exact_sample_changes_nothing(self) -> None:
        """Guards against an estimate that each slow statement lowers."""
        clock = RemoteClock()
        clock.record(_sample(10, 10.01, 5))
        clock.record(ClockSample(sent_at=11, received_at=11.4, remote_time=16))
        estimate = clock.earliest_time(11.4)
        assert estimate is not None
        self.assertGreater(estimate, 16.39)

    def test_sample_of_unknown_age_is_not_used(self) -> None:
        """Guards against a message that waited for any time."""
        clock = RemoteClock()
        clock.record(_sample(10, 11.2, 5))
        self.assertIsNone(clock.earliest_time(11.2))

    def test_estimate_ends(self) -> None:
        """Guards against an estimate of a host that was replaced."""
        clock = RemoteClock()
        clock.record(_sample(10, 10.01, 5))
        self.assertIsNone(clock.earliest_time(41))
        clock.record(_sample(42, 42.3, 7))
        self.assertTrue(clock.is_known(42.3))
        clock.forget()
        self.assertFalse(clock.is_known(42.3))
