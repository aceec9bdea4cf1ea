"""Calls to other hosts, on one channel per host."""

from typing import TypeVar

import msgspec
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError

from lavendergate.rpc.service import Method, call, open_channel

RequestT = TypeVar('RequestT')
ReplyT = TypeVar('ReplyT')

_FAILURES = (
    GRPCError,
    StreamTerminatedError,
    OSError,
    TimeoutError,
    msgspec.MsgspecError,
)


class PeerCallError(Exception):
    """No answer arrived; the call may have been carried out."""


class Peers:
    """Channels to other hosts."""

    def __init__(self) -> None:
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

        Raises
        ------
        PeerCallError
            If there is no answer in time.
        """
        channel = self._channels.get(address)
        if channel is None:
            channel = open_channel(address)
            self._channels[address] = channel
        try:
            return await call(channel, method, request, timeout_s=timeout_s)
        except _FAILURES as error:
            # The connection may be silent although a new one would work.
            self._drop(address, channel)
            raise PeerCallError(f'no answer from {address}: {error!r}') from (
                error
            )

    def _drop(self, address: str, channel: Channel) -> None:
        if self._channels.get(address) is channel:
            self._channels.pop(address)
        channel.close()

    def close(self) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            channel.close()
        self._channels = {}
