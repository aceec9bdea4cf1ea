"""Tests of proofs of commits whose members are asked through homes."""

import unittest

import anyio
import msgspec
import trio
from trio.testing import MockClock

from lavendergate.core.sessions.statements import (
    Completed,
    RefusalCode,
    Refused,
    Write,
)
from lavendergate.filters.sessions.base import CallerSession
from lavendergate.rpc.relay_service import RelayReply, RelayRequest
from lavendergate.tests.relay_fixture import RelayFixture
from lavendergate.tests.session_fixture import PRIMARY

_PROXIES = 12
# The fixture leases the primary for this long, in seconds.
_LEASE_S = 60.0
_WRITE = Write(item='x', content='1')


async def write_twice(fleet: RelayFixture) -> object:
    """Return the outcome of a write without a lease, after a first one.

    The first one makes the proxy ask the members.
    """
    proxy = fleet.others('a')[0]
    session = CallerSession(database=PRIMARY)
    await proxy.send(session, _WRITE)
    await anyio.sleep(0.4)
    return (await proxy.send(session, _WRITE)).outcome


async def ask_replicas(fleet: RelayFixture) -> None:
    """Have the homes of the replicas connect to them."""
    proxy = fleet.others('a')[0]
    for name in ('b', 'c'):
        pooled = await proxy.pools.acquire(
            fleet.group.member(name).entry, {}, anyio.current_time() + 1
        )
        await pooled.report(timeout_s=1)
        await proxy.pools.release(pooled)


class RelayedProofTest(unittest.TestCase):
    """Writes without a lease of proxies that connect to no member."""

    def play(self, scenario: object) -> None:
        """Run a scenario in virtual time."""

        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                fleet = RelayFixture(tasks=tasks, proxies=_PROXIES)
                await scenario(fleet)  # type: ignore[operator]
                tasks.cancel_scope.cancel()

        trio.run(run, clock=MockClock(autojump_threshold=0))

    def test_homes_tell_how_long_the_members_have_run(self) -> None:
        """Guards against refused writes of proxies without connections."""

        async def scenario(fleet: RelayFixture) -> None:
            await ask_replicas(fleet)
            await anyio.sleep(_LEASE_S + 1)
            self.assertIsInstance(await write_twice(fleet), Completed)

        self.play(scenario)

    def test_restarted_members_prove_nothing_through_homes(self) -> None:
        """Guards against a home that hides the restart of a member."""

        async def scenario(fleet: RelayFixture) -> None:
            await ask_replicas(fleet)
            await anyio.sleep(_LEASE_S + 1)
            for name in ('b', 'c'):
                fleet.group.member(name).is_down = True
                fleet.group.restart(fleet.group.member(name))
            await write_twice(fleet)
            await anyio.sleep(1)
            outcome = await write_twice(fleet)
            assert isinstance(outcome, Refused)
            self.assertEqual(outcome.code, RefusalCode.busy)

        self.play(scenario)

    def test_home_of_an_earlier_build_proves_nothing(self) -> None:
        """Guards against a missing time that counts as any time."""

        async def scenario(fleet: RelayFixture) -> None:
            run = fleet.transport.run

            async def run_as_before(
                address: str, request: RelayRequest
            ) -> RelayReply:
                reply = await run(address, request)
                return msgspec.structs.replace(reply, running_ms=0)

            fleet.transport.run = run_as_before  # type: ignore[method-assign]
            await ask_replicas(fleet)
            await anyio.sleep(_LEASE_S + 1)
            outcome = await write_twice(fleet)
            assert isinstance(outcome, Refused)
            self.assertEqual(outcome.code, RefusalCode.busy)

        self.play(scenario)


if __name__ == '__main__':
    unittest.main()
