"""Tests of customers whose statements run through the homes of members."""

import unittest

from lavendergate.core.customers.table import CustomerTable, digest_key
from lavendergate.core.sessions.statements import (
    Begin,
    Commit,
    Completed,
    Read,
    RefusalCode,
    Refused,
    Write,
)
from lavendergate.filters.sessions.base import CallerSession
from lavendergate.tests.customers.customer_fixture import (
    SOUTH_KEY,
    table,
    usual_table,
)
from lavendergate.tests.relay_fixture import (
    RelayFixture,
    RelayingProxy,
    play,
)
from lavendergate.tests.session_fixture import PRIMARY

_MANY = tuple(f'customer{number}' for number in range(40))
_WRITE = Write(item='x', content='1')


def _change(fixture: RelayFixture, customers: CustomerTable) -> None:
    for proxy in fixture.proxies:
        proxy.customers = customers
        proxy.publish(proxy.view.routes.version + 1)


def _session(key: str) -> CallerSession:
    return CallerSession(database=PRIMARY, key_digest=digest_key(key))


def _direct_customers(proxy: RelayingProxy) -> list[str]:
    return [
        str(pooled.customer)
        for link in proxy.pools.links.values()
        for pooled in link.idle
        if not pooled.session.is_relayed
    ]


class RelayedCustomerTest(unittest.TestCase):
    """Statements that a proxy passes on."""

    def test_relayed_session_serves_any_customer(self) -> None:
        """Guards against statements under the name of another customer.

        One relayed session carries several customers; each connection of
        the homes belongs to one.
        """

        async def scenario(fixture: RelayFixture) -> None:
            _change(fixture, table(**{name: (name,) for name in _MANY}))
            proxy = fixture.others('a')[0]
            for name in _MANY:
                answer = await proxy.send(_session(name), _WRITE)
                self.assertIsInstance(answer.outcome, Completed)
            self.assertEqual(_direct_customers(proxy), [])
            held = [
                name
                for one in fixture.proxies
                for name in _direct_customers(one)
            ]
            self.assertEqual(len(held), len(set(held)))
            self.assertLessEqual(set(held) - {'None'}, set(_MANY))

        play(scenario)

    def test_each_home_serves_a_part_of_the_customers(self) -> None:
        """Guards against connections of one customer at all homes."""

        async def scenario(fixture: RelayFixture) -> None:
            _change(fixture, table(north=('key',)))
            for proxy in fixture.others('a'):
                answer = await proxy.send(_session('key'), _WRITE)
                self.assertIsInstance(answer.outcome, Completed)
            homes = [
                proxy.address
                for proxy in fixture.proxies
                if 'north' in _direct_customers(proxy)
            ]
            self.assertEqual(len(homes), 1)

        play(scenario)

    def test_key_is_taken_away_from_a_relayed_transaction(self) -> None:
        """Guards against a commit through a home without a valid key."""

        async def scenario(fixture: RelayFixture) -> None:
            _change(fixture, usual_table())
            proxy = fixture.others('a')[0]
            session = _session(SOUTH_KEY)
            await proxy.send(session, Begin())
            await proxy.send(session, _WRITE)
            _change(fixture, table(north=('key',)))
            answer = await proxy.send(session, Commit())
            assert isinstance(answer.outcome, Refused)
            self.assertEqual(answer.outcome.code, RefusalCode.not_authorized)
            answer = await proxy.send(_session('key'), Read(item='x'))
            self.assertIsInstance(answer.outcome, Completed)
            self.assertNotEqual(answer.rows, ('1',))

        play(scenario)
