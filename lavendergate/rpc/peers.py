"""RPC client for other hosts, with one channel per host."""

from typing import TypeVar

import msgspec
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError

from lavendergate.core.bounds.addresses import AddressError
from lavendergate.rpc.codec import ReportProblems
from lavendergate.rpc.service import Method, call, open_channel
from lavendergate.supervision.boundary import Boundary

RequestT = TypeVar('RequestT')
ReplyT = TypeVar('ReplyT')

_CALL_ERRORS = (
    GRPCError,
    StreamTerminatedError,
    OSError,
    TimeoutError,
    msgspec.MsgspecError,
)


class PeerCallError(Exception):
    """A call failed; the peer may have executed it."""


class PeerClient:
    """Calls other hosts and reuses one channel per host.

    Parameters
    ----------
    report
        Receives the problems of parts that were dropped from replies; see
        `MessagePackCodec`.
    boundary
        Receives unexpected errors of calls, which fail like lost ones; None
        if nobody does.
    """

    def __init__(
        self,
        *,
        report: ReportProblems | None = None,
        boundary: Boundary | None = None,
    ) -> None:
        self._report = report
        self._boundary = boundary
        self._channels: dict[str, Channel] = {}

    async def call(
        self,
        address: str,
        method: Method[RequestT, ReplyT],
        request: RequestT,
        *,
        timeout_s: float,
    ) -> ReplyT:
        """Call a method of a host.

        Parameters
        ----------
        address
            Address of the host, ``ip:port``.
        timeout_s
            Time limit for the reply, in seconds.

        Raises
        ------
        PeerCallError
            If no valid reply arrives within the time limit.
        """
        channel = self._channel(address)
        try:
            return await call(channel, method, request, timeout_s=timeout_s)
        except _CALL_ERRORS as error:
            # The connection may be unresponsive although a new one would
            # work, so the next call opens another.
            self._discard_channel(address, channel)
            raise PeerCallError(f'no answer from {address}: {error!r}') from (
                error
            )
        except Exception as error:
            # One odd reply must not end the work with other hosts.
            self._discard_channel(address, channel)
            if self._boundary is not None:
                self._boundary.report('peer call', error)
            raise PeerCallError(f'failed call of {address}: {error!r}') from (
                error
            )

    def _channel(self, address: str) -> Channel:
        channel = self._channels.get(address)
        if channel is None:
            try:
                channel = open_channel(address, report=self._report)
            except AddressError as error:
                raise PeerCallError(str(error)) from error
            self._channels[address] = channel
        return channel

    def _discard_channel(self, address: str, channel: Channel) -> None:
        if self._channels.get(address) is channel:
            self._channels.pop(address)
        channel.close()

    def close(self) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            channel.close()
        self._channels = {}
