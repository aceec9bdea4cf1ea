"""Transport of messages of the replicated log between control hosts."""

import ssl
from abc import ABC, abstractmethod

import msgspec
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError

from lavendergate.core.bounds.addresses import AddressError
from lavendergate.core.consensus.messages import Envelope
from lavendergate.rpc.consensus_service import EXCHANGE, ExchangeRequest
from lavendergate.rpc.service import call, open_channel
from lavendergate.supervision.boundary import Boundary

# A peer that runs another version may reply with data that does not decode.
_CALL_ERRORS = (
    GRPCError,
    StreamTerminatedError,
    OSError,
    msgspec.MsgspecError,
)


class TransportError(Exception):
    """No reply to a message was received, or it could not be sent."""


class Transport(ABC):
    """Interface for sending a message and receiving its reply."""

    @abstractmethod
    async def exchange(
        self, address: str, envelope: Envelope, *, timeout_s: float
    ) -> Envelope | None:
        """Send a message and wait for its reply.

        Parameters
        ----------
        address
            Address of the recipient, ``ip:port``.
        envelope
            Message to send.
        timeout_s
            Time after which the message is considered lost, in seconds.

        Returns
        -------
        Envelope or None
            The reply, or None if the recipient dropped the message.

        Raises
        ------
        TransportError
            If no reply was received, or the message could not be sent.
        """

    def close(self) -> None:
        """Close all connections; by default there is nothing to close."""


class GrpcTransport(Transport):
    """Sends messages over gRPC, on one connection per recipient.

    Parameters
    ----------
    tls
        Context for mutual TLS; None for plain connections.
    boundary
        Receives unexpected errors of calls, which fail like lost ones; None
        if nobody does.
    """

    def __init__(
        self,
        *,
        boundary: Boundary | None = None,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._boundary = boundary
        self._tls = tls
        self._channels: dict[str, Channel] = {}

    async def exchange(
        self, address: str, envelope: Envelope, *, timeout_s: float
    ) -> Envelope | None:
        """Send a message; see the base class."""
        channel = self._get_channel(address)
        request = ExchangeRequest(envelope=envelope)
        try:
            reply = await call(channel, EXCHANGE, request, timeout_s=timeout_s)
        except _CALL_ERRORS as error:
            # A connection may stay unresponsive although a new one would
            # work, so a failed one is never reused.
            self._discard_channel(address, channel)
            raise TransportError(f'no answer from {address}') from error
        except Exception as error:
            # One odd reply must not end the node of the log.
            self._discard_channel(address, channel)
            if self._boundary is not None:
                self._boundary.report('log exchange', error)
            raise TransportError(f'failed call of {address}') from error
        return reply.envelope

    def close(self) -> None:
        """Close all connections."""
        for channel in self._channels.values():
            channel.close()
        self._channels = {}

    def _get_channel(self, address: str) -> Channel:
        channel = self._channels.get(address)
        if channel is None:
            try:
                channel = open_channel(address, tls=self._tls)
            except AddressError as error:
                raise TransportError(str(error)) from error
            self._channels[address] = channel
        return channel

    def _discard_channel(self, address: str, channel: Channel) -> None:
        if self._channels.get(address) is channel:
            self._channels.pop(address)
        channel.close()
