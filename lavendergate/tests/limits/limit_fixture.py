"""Several proxies that keep the limits of customers, in memory."""

from collections.abc import Awaitable, Callable

import anyio
import msgspec
import trio
from anyio.abc import TaskGroup
from trio.testing import MockClock

from lavendergate.controllers.limits.borrower import (
    Allowed,
    LimitBorrower,
    NoOwner,
    Verdict,
)
from lavendergate.controllers.limits.owner import LimitOwner
from lavendergate.core.customers.table import (
    Customer,
    CustomerName,
    CustomerTable,
    OperationLimit,
    build_customer_table,
)
from lavendergate.core.limits.budget import Tolerance
from lavendergate.core.limits.owners import SlotId
from lavendergate.core.relays.homes import ProxyAddress
from lavendergate.core.types import FailureDomain
from lavendergate.observability.log import MemoryEventLog
from lavendergate.rpc.limit_service import (
    LimitReply,
    LimitRequest,
    LimitTransport,
)
from properties.limit_window import most_in_window

TOLERANCE = Tolerance(window_s=5, overage=0.1, slack=20)
# One way between failure domains and within one, in seconds.
_FAR_S = 0.02
_NEAR_S = 0.001
_LIFETIME_S = 5.0
_PUBLISH_S = 0.3
# Time after which the owners of a fleet that has just started grant, in
# seconds, and their buckets are full.
_SETTLED_S = 40


class LimitNode:
    """One proxy."""

    def __init__(self, *, fleet: 'LimitFleet', number: int) -> None:
        self.address = f'10.0.{number // 250}.{number % 250}:7440'
        self.domain = FailureDomain(f'domain-{number % 6}')
        self._fleet = fleet
        self.start()

    def start(self) -> None:
        """Bring the proxy into the state after the start of its process."""
        fleet = self._fleet
        self.owner = LimitOwner(
            own_address=self.address,
            tolerance=TOLERANCE,
            customers=lambda: fleet.table,
            transport=fleet,
            tasks=fleet.tasks,
            real_clock=anyio.current_time,
            events=MemoryEventLog(),
        )
        self.borrower = LimitBorrower(
            owner=self.owner,
            tolerance=TOLERANCE,
            transport=fleet,
            tasks=fleet.tasks,
            real_clock=anyio.current_time,
        )


class LimitFleet(LimitTransport):
    """Proxies with a control leader.

    Attributes
    ----------
    frozen, stopped
        Addresses that handle nothing for now, or are gone.
    is_cut
        Returns whether messages between two proxies are lost.
    silent
        Addresses that do not reach the control leader.
    verdicts, ran_at, waits
        Decisions about the operations of each customer, when those ran, and
        how long each decision took, in seconds.
    messages, message_bytes
        Number and size of the messages between proxies.
    """

    def __init__(self, *, tasks: TaskGroup, proxies: int) -> None:
        self.tasks = tasks
        self.table = CustomerTable()
        self.frozen: set[str] = set()
        self.stopped: set[str] = set()
        self.silent: set[str] = set()
        self.is_cut: Callable[[str, str], bool] = lambda one, other: False
        self.verdicts: dict[str, list[Verdict]] = {}
        self.ran_at: dict[str, list[float]] = {}
        self.waits: dict[str, list[float]] = {}
        self.messages = 0
        self.message_bytes = 0
        self.nodes = {
            node.address: node
            for node in (
                LimitNode(fleet=self, number=number)
                for number in range(1, proxies + 1)
            )
        }
        self._seen_at = dict.fromkeys(self.nodes, 0.0)
        self._woken = anyio.Event()
        self._published: dict[
            str, tuple[LimitOwner, tuple[ProxyAddress, ...]]
        ] = {}

    def limit(self, rates: dict[str, tuple[float, float]]) -> None:
        """Put customers with rates and bursts into force."""
        self.table = build_customer_table(
            (
                Customer(
                    name=CustomerName(name),
                    limit=OperationLimit(rate_per_s=rate, burst=burst),
                ),
                (f'key of {name}',),
            )
            for name, (rate, burst) in rates.items()
        )

    async def lead(self) -> None:
        """Publish the live proxies until cancelled."""
        while True:
            now = anyio.current_time()
            present = self.nodes.keys() - self.frozen - self.stopped
            for address in present - self.silent:
                self._seen_at[address] = now
            live = tuple(
                ProxyAddress(
                    address=address, failure_domain=self.nodes[address].domain
                )
                for address, seen_at in self._seen_at.items()
                if now - seen_at < _LIFETIME_S
            )
            for address in present - self.silent:
                self.publish(address, live)
            await anyio.sleep(_PUBLISH_S)

    def publish(self, address: str, live: tuple[ProxyAddress, ...]) -> None:
        """Show one proxy the live proxies."""
        sent_at = anyio.current_time() - _FAR_S
        owner = self.nodes[address].owner
        if self._published.get(address) == (owner, live):
            owner.confirm(sent_at)
            return
        self._published[address] = (owner, live)
        owner.change_proxies(live, source='leader', sent_at=sent_at)

    def owner_of(self, customer: str, slot: int = 0) -> LimitNode:
        """Return an owner of a customer by the view of the first proxy."""
        first = next(
            node
            for address, node in self.nodes.items()
            if address not in self.frozen | self.stopped | self.silent
        )
        address = first.owner.proxies.owner(
            SlotId(customer=CustomerName(customer), number=slot)
        )
        return self.nodes[address or '']

    def wake(self) -> None:
        """Let frozen proxies handle what they received."""
        self.frozen.clear()
        self._woken.set()
        self._woken = anyio.Event()

    async def ask_limits(
        self, address: str, request: LimitRequest
    ) -> LimitReply:
        """Ask another proxy; a frozen one answers once it has woken."""
        sender = request.sender
        if self.is_cut(sender, address) or address in self.stopped:
            await anyio.sleep_forever()
        near = self.nodes[sender].domain == self.nodes[address].domain
        await anyio.sleep(_NEAR_S if near else _FAR_S)
        if address in self.frozen:
            await self._woken.wait()
        reply = await self.nodes[address].owner.handle(request)
        self.messages += 2
        for message in (request, reply):
            self.message_bytes += len(msgspec.msgpack.encode(message))
        await anyio.sleep(_NEAR_S if near else _FAR_S)
        return reply

    async def run(self, address: str, name: str) -> None:
        """Run an operation of a customer at a proxy."""
        if address in self.frozen | self.stopped:
            return
        customer = self.table.customers[CustomerName(name)]
        assert customer.limit is not None
        arrived_at = anyio.current_time()
        verdict = await self.nodes[address].borrower.acquire(
            customer, customer.limit, 0.6
        )
        waited_s = anyio.current_time() - arrived_at
        self.waits.setdefault(name, []).append(waited_s)
        self.verdicts.setdefault(name, []).append(verdict)
        if verdict == Allowed():
            self.ran_at.setdefault(name, []).append(anyio.current_time())

    async def load(
        self, name: str, per_s: float, for_s: float, addresses: list[str]
    ) -> None:
        """Run operations at a constant rate, at the proxies in turn."""
        begun_at = anyio.current_time()
        for number in range(round(per_s * for_s)):
            await anyio.sleep_until(begun_at + number / per_s)
            address = addresses[number % len(addresses)]
            self.tasks.start_soon(self.run, address, name)
        await anyio.sleep(1)

    def refused(self, name: str) -> int:
        """Return how many operations of a customer were refused."""
        return sum(one != Allowed() for one in self.verdicts.get(name, []))

    def without_owner(self, name: str) -> int:
        """Return how many operations were refused for want of an owner."""
        return sum(one == NoOwner() for one in self.verdicts.get(name, []))

    def excess(self, name: str, limit: OperationLimit) -> float:
        """Return the operations beyond what may run in a window."""
        most = most_in_window(self.ran_at.get(name, []), TOLERANCE.window_s)
        return most - TOLERANCE.allowed(limit)


def play(
    scenario: Callable[[LimitFleet], Awaitable[None]], *, proxies: int = 12
) -> None:
    """Run a scenario with a mock clock, after the fleet has settled."""

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            fleet = LimitFleet(tasks=tasks, proxies=proxies)
            tasks.start_soon(fleet.lead)
            await anyio.sleep(_SETTLED_S)
            await scenario(fleet)
            tasks.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))
