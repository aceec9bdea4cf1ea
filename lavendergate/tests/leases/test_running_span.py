"""Tests of the time for which a member is known to have run."""

import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

import anyio
import trio
from trio.testing import MockClock

from lavendergate.controllers.fleet_view import FleetView
from lavendergate.controllers.leases.kept_connections import KeptConnections
from lavendergate.core.leases.running_span import RunningSpan
from lavendergate.core.sessions.statements import Completed, Write
from lavendergate.core.types import GroupId, Term, UpstreamId
from lavendergate.filters.sessions.base import CallerSession
from lavendergate.rpc.fleet_service import PrimaryNotice
from lavendergate.tests.session_fixture import PRIMARY, SessionFixture

_UNKNOWN = float('inf')


class RunningSpanTest(unittest.TestCase):
    """What answers on connections show about a member's process."""

    def test_overlapping_connections_show_an_unbroken_time(self) -> None:
        """Guards against a time that ends with each connection."""
        span = RunningSpan()
        span.extend(1, 3)
        span.extend(2, 6)
        span.extend(1.5, 4)
        self.assertEqual(span.since_at(6), 1)

    def test_gap_between_connections_breaks_the_time(self) -> None:
        """Guards against a restart between two connections."""
        span = RunningSpan()
        span.extend(1, 3)
        span.extend(3.5, 6)
        self.assertEqual(span.since_at(6), 3.5)
        self.assertEqual(span.since_at(3), _UNKNOWN)

    def test_late_answer_of_an_earlier_connection_changes_nothing(self) -> None:
        """Guards against a time before a restart that hides the restart."""
        span = RunningSpan()
        span.extend(4, 6)
        span.extend(1, 3)
        self.assertEqual(span.since_at(6), 4)

    def test_time_that_no_answer_covers_is_unknown(self) -> None:
        """Guards against a member that is taken to run on by itself."""
        span = RunningSpan()
        self.assertEqual(span.since_at(1), _UNKNOWN)
        span.extend(1, 3)
        self.assertEqual(span.since_at(3.1), _UNKNOWN)
        span.extend(5, 4)
        self.assertEqual(span.since_at(4.5), _UNKNOWN)


def play(scenario: Callable[[SessionFixture], Awaitable[None]]) -> None:
    """Run a scenario with a proxy that control has counted."""

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            await scenario(SessionFixture(tasks=tasks, proxies=1))
            tasks.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


class KeptConnectionTest(unittest.TestCase):
    """Connections that a proxy keeps so that it can prove commits later."""

    def test_leased_proxy_connects_to_the_replicas_without_reads(self) -> None:
        """Guards against writes that nothing proves once control is gone."""

        async def scenario(proxy: SessionFixture) -> None:
            await anyio.sleep(0.1)
            for name in ('b', 'c'):
                self.assertEqual(
                    proxy.pools.links[UpstreamId(name)].opened, 1, name
                )
            dials = proxy.dialer.dial_count
            proxy.notice('a', 1)
            await anyio.sleep(2)
            proxy.notice('a', 1)
            await anyio.sleep(0.1)
            self.assertEqual(proxy.dialer.dial_count, dials)

        play(scenario)

    def test_uncounted_proxies_connect_to_no_replica(self) -> None:
        """Guards against hundreds of proxies that connect at their start."""

        async def scenario(proxy: SessionFixture) -> None:
            view = FleetView(clock=anyio.current_time)
            view.adopt_routes(proxy.view.routes)
            view.merge(
                tuple(member.entry for member in proxy.group.members.values())
            )
            view.record_primaries(
                (
                    PrimaryNotice(
                        service=proxy.group.service,
                        upstream_id=UpstreamId('a'),
                        term=Term(1),
                    ),
                )
            )
            await anyio.sleep(2)
            for name in ('b', 'c'):
                proxy.pools.remove_member(UpstreamId(name))
            kept = KeptConnections(
                view=view,
                pools=proxy.pools,
                tasks=proxy.tasks,
                monotonic=anyio.current_time,
            )
            kept.open_missing([proxy.group.service])
            await anyio.sleep(0.1)
            self.assertFalse(proxy.pools.links)
            view.proxies = 3
            kept.open_missing([proxy.group.service])
            await anyio.sleep(0.1)
            self.assertEqual(set(proxy.pools.links), {'b', 'c'})

        play(scenario)

    def test_hundreds_of_services_are_checked_in_parts(self) -> None:
        """Guards against a pause of the whole proxy at each answer.

        The homes of the members of 800 services took 0.22 s to choose.
        """

        async def scenario(proxy: SessionFixture) -> None:
            kept = KeptConnections(
                view=proxy.view,
                pools=proxy.pools,
                tasks=proxy.tasks,
                monotonic=anyio.current_time,
            )
            services = [GroupId(f's-{number}') for number in range(800)]
            with (
                mock.patch.object(
                    FleetView, 'claim_of', autospec=True
                ) as asked,
                mock.patch.object(
                    kept, '_has_confirmations', lambda service: True
                ),
            ):
                for _ in range(20):
                    before = asked.call_count
                    kept.open_missing(services)
                    self.assertLessEqual(asked.call_count - before, 40)
            checked = {call.args[1] for call in asked.call_args_list}
            self.assertEqual(checked, set(services))

        play(scenario)

    def test_service_without_confirming_replicas_needs_no_connections(
        self,
    ) -> None:
        """Guards against connections that prove nothing."""

        async def scenario(proxy: SessionFixture) -> None:
            await anyio.sleep(0.1)
            proxy.synchronous_replicas = 0
            proxy.publish(2)
            proxy.group.member('b').is_down = True
            proxy.group.member('b').is_down = False
            proxy.pools.remove_member(UpstreamId('b'))
            await anyio.sleep(2)
            proxy.notice('a', 1)
            await anyio.sleep(0.1)
            self.assertNotIn(UpstreamId('b'), proxy.pools.links)
            answer = await proxy.send(
                CallerSession(database=PRIMARY), Write(item='x', content='1')
            )
            self.assertIsInstance(answer.outcome, Completed)

        play(scenario)


if __name__ == '__main__':
    unittest.main()
