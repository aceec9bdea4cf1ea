"""Several proxies in front of one group with few connections, in memory."""

from collections import Counter
from collections.abc import Awaitable, Callable

import anyio
import trio
from anyio.abc import TaskGroup
from trio.testing import MockClock

from lavendergate.backends.sessions import MemberDialer
from lavendergate.controllers.relays.client import RelayClient
from lavendergate.controllers.relays.session import RelayDialer
from lavendergate.core.fleet_directory import MemberEntry
from lavendergate.core.relays.homes import (
    ProxyAddress,
    choose_homes,
    order_homes,
)
from lavendergate.core.sessions.shares import (
    ConnectionShare,
    connection_share,
    home_share,
    relayed_share,
)
from lavendergate.core.types import FailureDomain
from lavendergate.filters.relays.home import RelayHome
from lavendergate.observability.log import MemoryEventLog
from lavendergate.rpc.relay_service import RelayReply, RelayRequest
from lavendergate.rpc.relay_transport import (
    RelayLostError,
    RelayNotSentError,
    RelayTransport,
)
from lavendergate.tests.session_fixture import SessionFixture
from standin.session_group import SessionGroup

CONNECTIONS = 16


class MemoryRelayTransport(RelayTransport):
    """Calls proxies in memory.

    Attributes
    ----------
    homes
        Proxies by address.
    frozen, stopped
        Addresses that accept calls without answering, or refuse connections.
    lost_replies
        Number of next statements whose replies are lost.
    calls
        Number of statements that were passed on, by address.
    """

    def __init__(self, *, tasks: TaskGroup) -> None:
        self.homes: dict[str, RelayHome] = {}
        self.frozen: set[str] = set()
        self.stopped: set[str] = set()
        self.lost_replies = 0
        self.calls: dict[str, int] = {}
        self._tasks = tasks
        self._received: list[tuple[RelayHome, RelayRequest]] = []

    async def run(self, address: str, request: RelayRequest) -> RelayReply:
        """Call a home; a frozen one handles the call once it has thawed."""
        home = await self._reach(address)
        if address in self.frozen:
            self._received.append((home, request))
            await anyio.sleep_forever()
        reply = await home.handle(request)
        self.calls[address] = self.calls.get(address, 0) + 1
        if self.lost_replies:
            self.lost_replies -= 1
            raise RelayLostError('the connection was reset')
        return reply

    async def read_time_ms(self, address: str) -> int:
        """Return the time of a home, unless it is frozen."""
        home = await self._reach(address)
        if address in self.frozen:
            await anyio.sleep_forever()
        return home.now_ms()

    async def _reach(self, address: str) -> RelayHome:
        await anyio.lowlevel.checkpoint()
        if address in self.stopped:
            raise RelayNotSentError(f'{address} refuses connections')
        return self.homes[address]

    def disconnect(self, address: str) -> None:
        """Do nothing; calls in memory have no connection."""

    def thaw(self) -> None:
        """Let frozen proxies handle the calls that they received."""
        self.frozen.clear()
        for home, request in self._received:
            self._tasks.start_soon(home.handle, request)
        self._received = []


class RelayingProxy(SessionFixture):
    """One of several proxies that share the connections of a group."""

    def __init__(
        self,
        *,
        tasks: TaskGroup,
        address: str,
        group: SessionGroup,
        transport: RelayTransport,
        real_clock: Callable[[], float] = anyio.current_time,
    ) -> None:
        self.address = address
        self._real_clock = real_clock
        self.relays = RelayClient(
            own_address=address,
            transport=transport,
            tasks=tasks,
            is_scarce=lambda member: True,
            real_clock=real_clock,
            events=MemoryEventLog(),
        )
        super().__init__(
            tasks=tasks, group=group, make_dialer=self._make_dialer
        )
        self.home = self.make_home()
        tasks.start_soon(self.pools.run)
        tasks.start_soon(self.home.run)

    def make_home(self) -> RelayHome:
        """Return a home in the state after the start of its process."""
        return RelayHome(
            view=self.view,
            pools=self.pools,
            is_home=self.relays.is_home,
            clock=anyio.current_time,
            real_clock=self._real_clock,
            events=MemoryEventLog(),
        )

    def _make_dialer(self, direct: MemberDialer) -> MemberDialer:
        return RelayDialer(relays=self.relays, direct=direct)

    def _home_share(self, entry: MemberEntry) -> ConnectionShare:
        limits = self.view.routes.services.get(entry.service)
        return home_share(limits, entry.slots)

    def _share(self, entry: MemberEntry) -> ConnectionShare:
        limits = self.view.routes.services.get(entry.service)
        if self.relays.link_for(entry) is not None:
            return relayed_share()
        if self.relays.is_home(entry):
            return home_share(limits, entry.slots)
        return connection_share(limits, 100)


class RelayFixture:
    """Proxies in front of one group of three members.

    Parameters
    ----------
    wrap
        Returns the transport of one proxy, given the one of all.
    real_clock
        Clock of expiries, in seconds.
    """

    def __init__(
        self,
        *,
        tasks: TaskGroup,
        proxies: int,
        wrap: Callable[[RelayTransport], RelayTransport] | None = None,
        real_clock: Callable[[], float] = anyio.current_time,
    ) -> None:
        self.group = SessionGroup(names=('a', 'b', 'c'))
        self.group.max_connections = CONNECTIONS
        self.transport = MemoryRelayTransport(tasks=tasks)
        self.proxies = [
            RelayingProxy(
                tasks=tasks,
                address=f'10.0.1.{number}:7440',
                group=self.group,
                transport=(
                    self.transport if wrap is None else wrap(self.transport)
                ),
                real_clock=real_clock,
            )
            for number in range(1, proxies + 1)
        ]
        self.transport.homes = {
            proxy.address: proxy.home for proxy in self.proxies
        }
        self.connect(self.proxies)

    def connect(self, proxies: list[RelayingProxy]) -> None:
        """Tell all proxies which of them are live."""
        live = tuple(
            ProxyAddress(
                address=proxy.address, failure_domain=FailureDomain('domain-1')
            )
            for proxy in proxies
        )
        self._live = live
        for proxy in self.proxies:
            proxy.relays.change_proxies(live)

    def home_of(self, name: str) -> RelayingProxy:
        """Return the home of a member that `others` use first."""
        address = self._first_choice(name, self.others(name)[0])
        return next(proxy for proxy in self.proxies if proxy.address == address)

    def others(self, name: str) -> list[RelayingProxy]:
        """Return proxies that are no home of a member.

        The first ones pass statements on to the same home.
        """
        entry = self.group.member(name).entry
        others = [
            proxy for proxy in self.proxies if not proxy.relays.is_home(entry)
        ]
        choices = Counter(self._first_choice(name, one) for one in others)
        return sorted(
            others, key=lambda one: -choices[self._first_choice(name, one)]
        )

    def _first_choice(self, name: str, proxy: RelayingProxy) -> str:
        homes = choose_homes(self.group.member(name).entry, self._live)
        return order_homes(homes, proxy.address)[0]


def play(
    scenario: Callable[[RelayFixture], Awaitable[None]],
    *,
    proxies: int = 12,
    wrap: Callable[[RelayTransport], RelayTransport] | None = None,
    real_clock: Callable[[], float] = anyio.current_time,
) -> None:
    """Run a scenario with a mock clock that skips waits."""

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            fleet = RelayFixture(
                tasks=tasks, proxies=proxies, wrap=wrap, real_clock=real_clock
            )
            await scenario(fleet)
            tasks.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))
