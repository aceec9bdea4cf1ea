"""Tests of the client that finds and polls the leading control host."""

import contextlib
import unittest
from collections.abc import Awaitable, Callable
from typing import Any, cast

import anyio
import trio
from trio.testing import MockClock

from lavendergate.controllers.control_sync import (
    ControlSyncClient,
    SyncReceiver,
)
from lavendergate.core.types import HostId
from lavendergate.observability.log import MemoryEventLog
from lavendergate.rpc.fleet_service import (
    FleetVersion,
    PrimaryReachability,
    SyncReply,
    SyncRequest,
)
from lavendergate.rpc.peers import PeerCallError, PeerClient

_SEEDS = ('10.0.0.1:7000', '10.0.0.2:7000', '10.0.0.3:7000')
_NEVER = float('inf')


class _Hosts:
    """Control hosts in memory; calls to a host before its start time out."""

    def __init__(self) -> None:
        self.started_at = dict.fromkeys(_SEEDS, 0.0)
        self.leader: str | None = None
        self.named: tuple[str, ...] = _SEEDS
        self.calls: list[tuple[float, str]] = []
        self.known: list[FleetVersion] = []

    async def call(
        self, address: str, method: Any, request: Any, *, timeout_s: float
    ) -> SyncReply:
        """Answer with the state of the host at the current time."""
        assert isinstance(request, SyncRequest)
        self.calls.append((anyio.current_time(), address))
        self.known.append(request.known)
        if anyio.current_time() < self.started_at[address]:
            await anyio.sleep(timeout_s)
            raise PeerCallError(f'no answer from {address}')
        await anyio.sleep(request.wait_s)
        return SyncReply(
            version=FleetVersion(source=address, version=1),
            is_leader=address == self.leader,
            leader=self.leader,
            control_hosts=self.named,
            routes_version=0,
            routes=None,
            entries=(),
            primaries=(),
            positions=(),
            proxies=0,
        )


class _Receiver(SyncReceiver):
    """Records when answers arrived."""

    def __init__(self) -> None:
        self.answered_at: list[float] = []
        self.leads = False
        self.fails = False

    @property
    def is_leader(self) -> bool:
        """Whether this host leads."""
        return self.leads

    @property
    def routes_version(self) -> int:
        """0, because there is no route table."""
        return 0

    def primary_reach(self) -> tuple[PrimaryReachability, ...]:
        """Empty, because no primary is used."""
        return ()

    def apply(self, reply: SyncReply, sent_at: float) -> None:
        """Record the time of the answer."""
        if self.fails:
            raise ValueError('unexpected')
        self.answered_at.append(anyio.current_time())


class _Fixture:
    """Sync client of a proxy, with its control hosts."""

    def __init__(self, *, own_address: str = '') -> None:
        self.hosts = _Hosts()
        self.receiver = _Receiver()
        self.events = MemoryEventLog()
        self.client = ControlSyncClient(
            host_id=HostId('edge-1'),
            is_proxy=True,
            seeds=_SEEDS,
            receiver=self.receiver,
            peers=cast(PeerClient, self.hosts),
            events=self.events,
            real_clock=anyio.current_time,
            own_address=own_address,
        )


def run_scenario(
    scenario: Callable[[_Fixture], Awaitable[None]], *, own_address: str = ''
) -> None:
    """Run a scenario in virtual time, in which waits end at once."""

    async def run() -> None:
        await scenario(_Fixture(own_address=own_address))

    trio.run(run, clock=MockClock(autojump_threshold=0))


class SearchTest(unittest.TestCase):
    """Search for the leader while some control hosts do not answer."""

    def test_answering_host_is_found_among_unresponsive_ones(self) -> None:
        """Guards against a start that waits for hosts that are down."""

        async def scenario(fixture: _Fixture) -> None:
            for address in _SEEDS[1:]:
                fixture.hosts.started_at[address] = _NEVER
            with anyio.move_on_after(0.1):
                await fixture.client.run()
            self.assertTrue(fixture.receiver.answered_at)

        run_scenario(scenario)

    def test_hosts_that_start_after_a_request_are_asked_again_soon(
        self,
    ) -> None:
        """Guards against waiting for the retransmission of a lost SYN.

        Proxies that started before the control hosts received their routes
        0.4 s later than possible.
        """

        async def scenario(fixture: _Fixture) -> None:
            began_at = anyio.current_time()
            for address in _SEEDS:
                fixture.hosts.started_at[address] = began_at + 0.1
            with anyio.move_on_after(0.8):
                await fixture.client.run()
            self.assertTrue(fixture.receiver.answered_at)

        run_scenario(scenario)

    def test_unresponsive_leader_is_replaced_soon(self) -> None:
        """Guards against stale routes while the leader does not answer."""

        async def scenario(fixture: _Fixture) -> None:
            fixture.hosts.leader = _SEEDS[0]
            with anyio.move_on_after(2):
                await fixture.client.run()
            fixture.hosts.started_at[_SEEDS[0]] = _NEVER
            fixture.hosts.leader = _SEEDS[1]
            lost_at = anyio.current_time()
            with anyio.move_on_after(1.5):
                await fixture.client.run()
            self.assertGreater(fixture.receiver.answered_at[-1], lost_at)

        run_scenario(scenario)

    def test_unresponsive_hosts_are_not_overloaded(self) -> None:
        """Guards against overload of starting hosts by many proxies."""

        async def scenario(fixture: _Fixture) -> None:
            fixture.hosts.started_at = dict.fromkeys(_SEEDS, _NEVER)
            with anyio.move_on_after(20):
                await fixture.client.run()
            late = [at for at, _ in fixture.hosts.calls if at > 10]
            self.assertLessEqual(len(late), 3 * 11)

        run_scenario(scenario)

    def test_seed_that_has_left_is_asked_less_and_less(self) -> None:
        """Guards against calls without end to a host that has left.

        While no host led, each proxy asked it about every 1.6 s.
        """

        async def scenario(fixture: _Fixture) -> None:
            departed = _SEEDS[0]
            fixture.hosts.named = _SEEDS[1:]
            fixture.hosts.started_at[departed] = _NEVER
            with anyio.move_on_after(60):
                await fixture.client.run()
            asked = [at for at, host in fixture.hosts.calls if host == departed]
            self.assertLessEqual(len(asked), 8)
            fixture.hosts.started_at[departed] = 0
            fixture.hosts.leader = departed
            fixture.hosts.named = _SEEDS
            with anyio.move_on_after(3):
                await fixture.client.run()
            self.assertEqual(fixture.hosts.calls[-1][1], departed)

        run_scenario(scenario)

    def test_only_a_known_leader_is_asked(self) -> None:
        """Guards against requests to all hosts in normal operation."""

        async def scenario(fixture: _Fixture) -> None:
            fixture.hosts.leader = _SEEDS[0]
            with anyio.move_on_after(10):
                await fixture.client.run()
            late = {addr for at, addr in fixture.hosts.calls if at > 2}
            self.assertEqual(late, {_SEEDS[0]})

        run_scenario(scenario)

    def test_changes_whose_handling_failed_are_asked_for_again(self) -> None:
        """Guards against an error that loses the changes of a reply."""

        async def scenario(fixture: _Fixture) -> None:
            fixture.hosts.leader = _SEEDS[0]
            fixture.receiver.fails = True
            with contextlib.suppress(Exception):
                await fixture.client.run()
            fixture.receiver.fails = False
            known = len(fixture.hosts.known)
            with anyio.move_on_after(3):
                await fixture.client.run()
            self.assertEqual(fixture.hosts.known[known], FleetVersion())

        run_scenario(scenario)

    def test_former_leader_follows_its_successor(self) -> None:
        """Guards against a control host whose members stay as they were.

        A host that had led asked nobody any more until its next restart.
        """

        async def scenario(fixture: _Fixture) -> None:
            fixture.hosts.leader = _SEEDS[0]
            fixture.receiver.leads = True
            with anyio.move_on_after(2):
                await fixture.client.run()
            fixture.hosts.leader = _SEEDS[1]
            fixture.receiver.leads = False
            with anyio.move_on_after(2):
                await fixture.client.run()
            last_addresses = [address for _, address in fixture.hosts.calls][
                -2:
            ]
            self.assertEqual(last_addresses, [_SEEDS[1], _SEEDS[1]])

        run_scenario(scenario, own_address=_SEEDS[0])

    def test_leader_asks_nobody(self) -> None:
        """Guards against control hosts that poll each other for nothing."""

        async def scenario(fixture: _Fixture) -> None:
            fixture.hosts.leader = _SEEDS[0]
            fixture.receiver.leads = True
            with anyio.move_on_after(10):
                await fixture.client.run()
            self.assertEqual(
                [at for at, _ in fixture.hosts.calls if at > 1], []
            )

        run_scenario(scenario, own_address=_SEEDS[0])
