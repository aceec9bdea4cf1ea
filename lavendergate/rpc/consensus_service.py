"""RPC methods of consensus and of the configuration of control hosts."""

from abc import ABC, abstractmethod

import msgspec

from lavendergate.core.bounds.ranges import HostAndPort
from lavendergate.core.consensus.messages import Envelope
from lavendergate.core.types import HostId
from lavendergate.rpc.service import Method, UnaryService


class ExchangeRequest(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """Carries a message of the replicated log to a control host."""

    envelope: Envelope


class ExchangeReply(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Reply to a message of the replicated log.

    Parameters
    ----------
    envelope
        The reply; None if the receiver dropped the message.
    """

    envelope: Envelope | None


class HostIdentityRequest(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """Asks a control host for its identity."""


class HostIdentityReply(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """Identity of a control host.

    Parameters
    ----------
    incarnation
        Identifier of the host's data directory.
    initialised
        Whether the host already belongs to a cluster of control hosts.
    founding_seeds
        Sorted seeds of the host's founding record. Hosts without one, and
        those of earlier builds, name none.
    """

    host_id: HostId
    incarnation: str
    initialised: bool
    founding_seeds: tuple[str, ...] = ()


class ControlHost(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Control host in a configuration that an operator requests.

    Parameters
    ----------
    incarnation
        Identifier of the host's data directory.
    address
        Address of the host, ``ip:port``.
    """

    host_id: HostId
    incarnation: str
    address: HostAndPort


class ClusterInitRequest(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """Writes the first configuration.

    Every host of the configuration receives the same request.
    """

    voters: tuple[ControlHost, ...]


class ClusterReplaceRequest(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """Replaces a voter with a host outside the configuration."""

    old_host_id: HostId
    new_host: ControlHost


class ClusterReply(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Result of a configuration change.

    Parameters
    ----------
    problem
        Why the change was refused, and how to resolve it.
    leader
        Address of the leader, if the receiver is not the leader.
    """

    accepted: bool
    problem: str | None = None
    leader: str | None = None


EXCHANGE = Method(
    path='/lavendergate.Consensus/Exchange',
    request_type=ExchangeRequest,
    reply_type=ExchangeReply,
)
HOST_IDENTITY = Method(
    path='/lavendergate.Consensus/HostIdentity',
    request_type=HostIdentityRequest,
    reply_type=HostIdentityReply,
)
CLUSTER_INIT = Method(
    path='/lavendergate.Consensus/ClusterInit',
    request_type=ClusterInitRequest,
    reply_type=ClusterReply,
)
CLUSTER_REPLACE = Method(
    path='/lavendergate.Consensus/ClusterReplace',
    request_type=ClusterReplaceRequest,
    reply_type=ClusterReply,
)


class ConsensusHandlers(ABC):
    """Interface that a control host implements, one function per method."""

    @abstractmethod
    async def exchange(self, request: ExchangeRequest) -> ExchangeReply:
        """Handle a message of the replicated log."""

    @abstractmethod
    async def identify(self, request: HostIdentityRequest) -> HostIdentityReply:
        """Return the identity of the host."""

    @abstractmethod
    async def initialise(self, request: ClusterInitRequest) -> ClusterReply:
        """Write the first configuration to the log of this host."""

    @abstractmethod
    async def replace(self, request: ClusterReplaceRequest) -> ClusterReply:
        """Replace a voter with a host outside the configuration."""


def consensus_service(handlers: ConsensusHandlers) -> UnaryService:
    """Return a service that a grpclib server can register."""
    return UnaryService(
        implementations={
            EXCHANGE: handlers.exchange,
            HOST_IDENTITY: handlers.identify,
            CLUSTER_INIT: handlers.initialise,
            CLUSTER_REPLACE: handlers.replace,
        }
    )
