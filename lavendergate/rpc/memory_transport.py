"""Transport in memory, with the faults of a network."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random

import anyio

from lavendergate.core.consensus.messages import Envelope
from lavendergate.rpc.transport import Transport, TransportError

Handler = Callable[[Envelope], Awaitable[Envelope | None]]


@dataclass(frozen=True, kw_only=True, slots=True)
class LinkFaults:
    """Faults of every link of a network.

    Parameters
    ----------
    delay_s
        Shortest and longest delay of a message, in seconds. Different
        delays reorder messages.
    drop
        Probability that a message is lost.
    duplicate
        Probability that a message arrives twice.
    """

    delay_s: tuple[float, float] = (0, 0)
    drop: float = 0
    duplicate: float = 0


@dataclass(kw_only=True, slots=True)
class MemoryNetwork:
    """Network between nodes in one process.

    Parameters
    ----------
    random
        Source of the faults.
    faults
        Faults of every link.
    cuts
        Pairs of sender and recipient whose messages are lost; a pair cuts
        one direction.
    handlers
        Nodes that receive messages, by address.
    """

    random: Random
    faults: LinkFaults = LinkFaults()
    cuts: set[tuple[str, str]] = field(default_factory=set)
    handlers: dict[str, Handler] = field(default_factory=dict)

    async def pass_message(self, sender: str, recipient: str) -> None:
        """Delay a message, or lose it.

        Raises
        ------
        TransportError
            If the message is lost.
        """
        await anyio.sleep(self.random.uniform(*self.faults.delay_s))
        is_lost = self.random.random() < self.faults.drop
        if is_lost or (sender, recipient) in self.cuts:
            raise TransportError(f'{sender} cannot reach {recipient}')

    async def handle(
        self, recipient: str, envelope: Envelope
    ) -> Envelope | None:
        """Give a message to its recipient, once or twice."""
        handler = self.handlers.get(recipient)
        if handler is None:
            raise TransportError(f'{recipient} does not run')
        if self.random.random() < self.faults.duplicate:
            await handler(envelope)
        return await handler(envelope)


class MemoryTransport(Transport):
    """Transport of one node.

    Parameters
    ----------
    network
        Network that the node is in.
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
            await self._network.pass_message(self._address, address)
            reply = await self._network.handle(address, envelope)
            await self._network.pass_message(address, self._address)
            return reply
        raise TransportError(f'no answer from {address} in {timeout_s} s')
