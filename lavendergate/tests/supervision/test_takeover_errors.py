"""Tests of unexpected errors in the work on one service."""

import unittest
from dataclasses import replace
from unittest import mock

import anyio

from lavendergate.core.types import GroupId
from lavendergate.tests.takeover_fixture import TakeoverFixture, run_scenario


class TakeoverErrorTest(unittest.TestCase):
    """A control host with one service whose state raises errors."""

    def test_failing_service_stops_no_takeover_of_another(self) -> None:
        """Guards against one odd entry that blocks all promotions."""

        async def scenario(control: TakeoverFixture) -> None:
            observe = control.poller.observe
            routes = control.takeover._routes()
            (limits,) = routes.services.values()
            odd = replace(
                routes, services={GroupId('odd'): limits, **routes.services}
            )

            def observe_or_fail(service: GroupId) -> object:
                if service == 'odd':
                    raise ValueError('unexpected')
                return observe(service)

            with (
                mock.patch.object(
                    control.takeover, '_routes', return_value=odd
                ),
                mock.patch.object(control.poller, 'observe', observe_or_fail),
            ):
                await anyio.sleep(2)
                control.group.member('a').is_down = True
                await anyio.sleep(6)
            members = [control.group.member(name) for name in ('b', 'c')]
            self.assertTrue(any(member.is_primary for member in members))

        run_scenario(scenario)
