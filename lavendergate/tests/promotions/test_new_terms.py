"""Tests of what the control leader tells proxies of new terms."""

import unittest

import anyio

from lavendergate.core.types import HostId, Term
from lavendergate.rpc.fleet_service import SyncReply, SyncRequest
from lavendergate.tests.takeover_fixture import TakeoverFixture, run_scenario

_SETTLED_S = 5.0
_BOUND_S = 0.3
_LONG_POLL_S = 0.6


def promote(control: TakeoverFixture) -> None:
    """Promote `b`; the other members stay in the former term."""
    control.group.promote('b')
    for name in ('a', 'c'):
        control.group.member(name).term = Term(1)


async def wait_until_noticed(control: TakeoverFixture) -> SyncReply:
    """Return the first reply that names `b` as the primary."""
    while True:
        reply = await control.sync()
        if any(notice.upstream_id == 'b' for notice in reply.primaries):
            return reply
        await anyio.sleep(0.01)


async def poll(control: TakeoverFixture, known: SyncReply) -> SyncReply:
    """Return the reply to a proxy that holds what the last one named."""
    return await control.fleet.sync(
        SyncRequest(
            host_id=HostId('proxy-1'),
            is_proxy=True,
            known=known.version,
            routes_version=0,
            reach=(),
            wait_s=_LONG_POLL_S,
            unfollowed=known.unfollowed or (),
        )
    )


class NewTermsTest(unittest.TestCase):
    """Replies after a promotion that another host has ordered."""

    def test_reply_comes_as_soon_as_a_replica_follows(self) -> None:
        """Guards against proxies that hold writes for their long poll."""

        async def scenario(control: TakeoverFixture) -> None:
            await anyio.sleep(_SETTLED_S)
            promote(control)
            noticed = await wait_until_noticed(control)
            service = control.group.service
            self.assertEqual(noticed.unfollowed, (service,))
            control.group.member('c').term = Term(2)
            asked_at = anyio.current_time()
            reply = await poll(control, noticed)
            self.assertEqual(reply.unfollowed, ())
            self.assertLess(anyio.current_time() - asked_at, 0.1)

        run_scenario(scenario)

    def test_term_is_new_only_for_the_bound(self) -> None:
        """Guards against proxies that hold writes at each of their starts."""

        async def scenario(control: TakeoverFixture) -> None:
            await anyio.sleep(_SETTLED_S)
            promote(control)
            noticed = await wait_until_noticed(control)
            asked_at = anyio.current_time()
            reply = await poll(control, noticed)
            self.assertEqual(reply.unfollowed, ())
            self.assertLessEqual(anyio.current_time() - asked_at, _BOUND_S)
            self.assertEqual((await control.sync()).unfollowed, ())

        run_scenario(scenario)

    def test_host_that_does_not_lead_says_nothing(self) -> None:
        """Guards against word of a host that asks no replicas."""

        async def scenario(control: TakeoverFixture) -> None:
            await anyio.sleep(_SETTLED_S)
            control.node.view.is_leader = False
            self.assertIsNone((await control.sync()).unfollowed)

        run_scenario(scenario)
