"""Unary RPC services and calls on grpclib."""

import ssl
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.const import Cardinality, Handler
from grpclib.server import Stream

from lavendergate.core.bounds.addresses import split_host_and_port
from lavendergate.rpc.codec import MessagePackCodec, ReportProblems

RequestT = TypeVar('RequestT')
ReplyT = TypeVar('ReplyT')


@dataclass(frozen=True, kw_only=True, slots=True)
class Method(Generic[RequestT, ReplyT]):
    """Unary RPC method.

    Parameters
    ----------
    path
        Path of the method, ``/service/method``.
    """

    path: str
    request_type: type[RequestT]
    reply_type: type[ReplyT]


class UnaryService:
    """Collection of unary methods that a grpclib server can serve.

    Parameters
    ----------
    implementations
        Coroutine function that returns the reply of each method.
    """

    def __init__(
        self,
        *,
        implementations: Mapping[
            Method[Any, Any], Callable[[Any], Awaitable[Any]]
        ],
    ) -> None:
        self._implementations = implementations

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handlers in the form that grpclib expects."""
        return {
            method.path: Handler(
                _stream_handler(implementation),
                Cardinality.UNARY_UNARY,
                method.request_type,
                method.reply_type,
            )
            for method, implementation in self._implementations.items()
        }


def open_channel(
    address: str,
    *,
    tls: ssl.SSLContext | None = None,
    report: ReportProblems | None = None,
) -> Channel:
    """Return a channel to a host, which connects on its first call.

    Parameters
    ----------
    address
        Address of the host, ``ip:port``.
    tls
        Context for mutual TLS; None for plain connections.
    report
        Receives the problems of dropped parts; see `MessagePackCodec`.

    Raises
    ------
    AddressError
        If the address has no port, or one that is out of range.
    """
    host, port = split_host_and_port(address)
    return Channel(host, port, codec=MessagePackCodec(report=report), ssl=tls)


async def call(
    channel: Channel,
    method: Method[RequestT, ReplyT],
    request: RequestT,
    *,
    timeout_s: float | None,
) -> ReplyT:
    """Call a unary method and return its reply.

    Parameters
    ----------
    timeout_s
        Time limit for the reply, in seconds; None for no limit.

    Raises
    ------
    grpclib.exceptions.GRPCError
        If the peer replies with an error status.
    OSError, TimeoutError
        If the peer cannot be reached or does not reply in time.
    """
    stub = UnaryUnaryMethod(
        channel, method.path, method.request_type, method.reply_type
    )
    return await stub(request, timeout=timeout_s)


def _stream_handler(
    implementation: Callable[[Any], Awaitable[Any]],
) -> Callable[[Stream], Awaitable[None]]:
    async def handle(stream: Stream) -> None:  # noqa: WPS430
        request = await stream.recv_message()
        await stream.send_message(await implementation(request))

    return handle
