"""Messages and methods between control hosts, and for their first start."""

from abc import ABC, abstractmethod

import msgspec

from lavendergate.core.consensus.messages import Envelope
from lavendergate.core.types import HostId
from lavendergate.rpc.service import Method, UnaryService


class ExchangeRequest(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """A message of the replicated log."""

    envelope: Envelope


class ExchangeReply(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The answer to a message, or None if it was dropped."""

    envelope: Envelope | None


class HostIdentityRequest(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """Asks a control host who it is."""


class HostIdentityReply(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """Identity of a control host.

    Parameters
    ----------
    incarnation
        Identity of its data directory.
    initialised
        Whether the host belongs to a group already.
    """

    host_id: HostId
    incarnation: str
    initialised: bool


class ControlHost(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A control host as operators name it for a configuration."""

    host_id: HostId
    incarnation: str
    address: str


class ClusterInitRequest(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """First configuration; every host in it gets the same request."""

    voters: tuple[ControlHost, ...]


class ClusterReplaceRequest(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """Replaces a voter by a host that is not in the configuration."""

    old_host_id: HostId
    new_host: ControlHost


class ClusterReply(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Result of a change of the configuration.

    Parameters
    ----------
    problem
        Why it was refused, with the remedy.
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
    """What a control host does for each method."""

    @abstractmethod
    async def exchange(self, request: ExchangeRequest) -> ExchangeReply:
        """Handle a message of the replicated log."""

    @abstractmethod
    async def identify(self, request: HostIdentityRequest) -> HostIdentityReply:
        """Return the identity of the host."""

    @abstractmethod
    async def initialise(self, request: ClusterInitRequest) -> ClusterReply:
        """Write the first configuration."""

    @abstractmethod
    async def replace(self, request: ClusterReplaceRequest) -> ClusterReply:
        """Replace a voter."""


def consensus_service(handlers: ConsensusHandlers) -> UnaryService:
    """Return the service to register with a grpclib server."""
    return UnaryService(
        implementations={
            EXCHANGE: handlers.exchange,
            HOST_IDENTITY: handlers.identify,
            CLUSTER_INIT: handlers.initialise,
            CLUSTER_REPLACE: handlers.replace,
        }
    )
