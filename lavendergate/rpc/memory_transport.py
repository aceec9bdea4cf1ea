"""In-memory transport that simulates network faults."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random

import anyio

from lavendergate.core.consensus.messages import Envelope
from lavendergate.rpc.transport import Transport, TransportError

Handler = Callable[[Envelope], Awaitable[Envelope | None]]


@dataclass(frozen=True, kw_only=True, slots=True)
class LinkFaults:
    """Faults that apply to every link of a network.

    Parameters
    ----------
    delay_s
        Minimum and maximum delay of a message, in seconds. Messages with
        different delays may be reordered.
    drop_probability
        Probability that a message is lost.
    duplicate_probability
        Probability that a message is delivered twice.
    """

    delay_s: tuple[float, float] = (0, 0)
    drop_probability: float = 0
    duplicate_probability: float = 0


@dataclass(kw_only=True, slots=True)
class MemoryNetwork:
    """Simulated network between nodes in one process.

    Parameters
    ----------
    random
        Random generator that decides delays and faults.
    faults
        Faults of every link.
    blocked_links
        Pairs of sender and recipient whose messages are lost; each pair
        blocks one direction.
    handlers
        Message handler of each running node, by address.
    """

    random: Random
    faults: LinkFaults = LinkFaults()
    blocked_links: set[tuple[str, str]] = field(default_factory=set)
    handlers: dict[str, Handler] = field(default_factory=dict)

    async def simulate_link(self, sender: str, recipient: str) -> None:
        """Simulate the delay or loss of a message on a link.

        Raises
        ------
        TransportError
            If the message is lost at random or the link is blocked.
        """
        await anyio.sleep(self.random.uniform(*self.faults.delay_s))
        is_lost = self.random.random() < self.faults.drop_probability
        if is_lost or (sender, recipient) in self.blocked_links:
            raise TransportError(
                f'message from {sender} to {recipient} was lost'
            )

    async def deliver(
        self, recipient: str, envelope: Envelope
    ) -> Envelope | None:
        """Deliver a message to its recipient, possibly twice.

        Raises
        ------
        TransportError
            If no handler is registered for the recipient.
        """
        handler = self.handlers.get(recipient)
        if handler is None:
            raise TransportError(f'no control host is running at {recipient}')
        if self.random.random() < self.faults.duplicate_probability:
            await handler(envelope)
        return await handler(envelope)


class MemoryTransport(Transport):
    """Transport of one node on a simulated network.

    Parameters
    ----------
    network
        Network that the node is connected to.
    address
        Address of the node.
    """

    def __init__(self, *, network: MemoryNetwork, address: str) -> None:
        self._network = network
        self._address = address

    async def exchange(
        self, address: str, envelope: Envelope, *, timeout_s: float
    ) -> Envelope | None:
        """Send a message; see the base class."""
        with anyio.move_on_after(timeout_s):
            await self._network.simulate_link(self._address, address)
            reply = await self._network.deliver(address, envelope)
            await self._network.simulate_link(address, self._address)
            return reply
        raise TransportError(f'no answer from {address} within {timeout_s} s')
