"""Port for messages between nodes of the replicated log."""

import ssl
from abc import ABC, abstractmethod

import msgspec
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError

from lavendergate.core.consensus.messages import Envelope
from lavendergate.rpc.consensus_service import EXCHANGE, ExchangeRequest
from lavendergate.rpc.service import call, open_channel

# A peer of another version may answer with bytes that do not decode.
_LOST_CALL = (
    GRPCError,
    StreamTerminatedError,
    OSError,
    msgspec.MsgspecError,
)


class TransportError(Exception):
    """A message or its answer was lost."""


class Transport(ABC):
    """Sends a message and returns its answer."""

    @abstractmethod
    async def exchange(
        self, address: str, envelope: Envelope, *, timeout_s: float
    ) -> Envelope | None:
        """Send a message.

        Parameters
        ----------
        address
            Address of the recipient, ``ip:port``.
        envelope
            The message.
        timeout_s
            Time after which the message counts as lost, in seconds.

        Returns
        -------
        The answer, or None if the recipient dropped the message.

        Raises
        ------
        TransportError
            If the message or its answer was lost.
        """

    def close(self) -> None:
        """Close all connections."""


class GrpcTransport(Transport):
    """Sends messages over gRPC, on one connection per recipient.

    Parameters
    ----------
    tls
        Context for mutual TLS; None for plain connections.
    """

    def __init__(self, *, tls: ssl.SSLContext | None = None) -> None:
        self._tls = tls
        self._channels: dict[str, Channel] = {}

    async def exchange(
        self, address: str, envelope: Envelope, *, timeout_s: float
    ) -> Envelope | None:
        """Send a message; see the base class."""
        channel = self._channel(address)
        request = ExchangeRequest(envelope=envelope)
        try:
            reply = await call(channel, EXCHANGE, request, timeout_s=timeout_s)
        except _LOST_CALL as error:
            # A connection may stay silent although a new one would work, so
            # a failed one is never used again.
            self._drop(address, channel)
            raise TransportError(f'no answer from {address}') from error
        return reply.envelope

    def close(self) -> None:
        """Close all connections."""
        for channel in self._channels.values():
            channel.close()
        self._channels = {}

    def _channel(self, address: str) -> Channel:
        channel = self._channels.get(address)
        if channel is None:
            if not address.rpartition(':')[2].isdecimal():
                raise TransportError(
                    f'{address!r} is not an address: use ip:port'
                )
            channel = open_channel(address, tls=self._tls)
            self._channels[address] = channel
        return channel

    def _drop(self, address: str, channel: Channel) -> None:
        if self._channels.get(address) is channel:
            self._channels.pop(address)
        channel.close()
