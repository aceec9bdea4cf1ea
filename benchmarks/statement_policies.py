"""Routing policies that the statement simulation compares."""

from collections.abc import Mapping
from typing import NamedTuple

from benchmarks.statement_setup import REGIONS
from lavendergate.core.decisions import (
    BoundedRead,
    Decision,
    Request,
    SessionRead,
    UseMember,
    UsePrimary,
    WaitOnMember,
)
from lavendergate.core.member_load import Loads, RoutingPolicy
from lavendergate.core.routing import route
from lavendergate.core.types import (
    GroupView,
    LogPosition,
    Region,
    UpstreamId,
)

_ROUTING_POLICIES = {region: RoutingPolicy(region=region) for region in REGIONS}
_LONG_WAIT_MS = 2000


class RoutingInput(NamedTuple):
    """State of a proxy on which a routing decision depends.

    Attributes
    ----------
    region
        Region of the proxy.
    view
        The group as the proxy sees it through announcements.
    loads
        Load that the proxy has placed on each member.
    known_positions
        Highest log position that the proxy knows each member to have applied.
    now
        Virtual time, in seconds.
    tie_breaker
        Random number that selects among equally good members.
    """

    region: Region
    view: GroupView
    loads: Loads
    known_positions: Mapping[UpstreamId, LogPosition]
    now: float
    tie_breaker: float


class Policy:
    """Routing by the production code.

    Attributes
    ----------
    name
        Name in the printed tables.
    confirms
        Whether a write is answered only after a majority has confirmed it.
    """

    name = 'lavendergate'
    confirms = True

    def __call__(
        self,
        request: Request,
        routing_input: RoutingInput,
    ) -> Decision:
        """Route a statement."""
        return route(
            request,
            routing_input.view,
            routing_input.loads,
            routing_input.now,
            policy=_ROUTING_POLICIES[routing_input.region],
            known=routing_input.known_positions,
            tie_breaker=routing_input.tie_breaker,
        )


class NaivePolicy(Policy):
    """Uses only the primary and answers writes without confirmation."""

    name = 'naive'
    confirms = False

    def __call__(
        self,
        request: Request,
        routing_input: RoutingInput,
    ) -> Decision:
        """Send everything to the primary."""
        return _use_primary(routing_input.view)


class SessionPrimaryPolicy(Policy):
    """Session reads with a token on the primary, others as usual."""

    name = 'session reads on primary'

    def __call__(
        self,
        request: Request,
        routing_input: RoutingInput,
    ) -> Decision:
        """Send session reads with a token to the primary."""
        if isinstance(request, SessionRead) and request.position is not None:
            return _use_primary(routing_input.view)
        return super().__call__(request, routing_input)


class RoundRobinPolicy(Policy):
    """Replicas in turn; session reads wait for the position of the session."""

    name = 'round robin with wait'

    def __init__(self) -> None:
        """Start the rotation of the replicas."""
        self._next_replica = 0

    def __call__(
        self,
        request: Request,
        routing_input: RoutingInput,
    ) -> Decision:
        """Send a read to the next replica; route other requests as usual."""
        self._next_replica += 1
        replicas = [
            member.upstream_id
            for member in routing_input.view.members
            if member.upstream_id != routing_input.view.primary
        ]
        name = replicas[self._next_replica % len(replicas)]
        match request:
            case BoundedRead():
                return UseMember(upstream_id=name)
            case SessionRead(position=LogPosition() as position):
                return WaitOnMember(
                    upstream_id=name,
                    position=position,
                    timeout_ms=_LONG_WAIT_MS,
                )
            case _:
                return super().__call__(request, routing_input)


def _use_primary(view: GroupView) -> Decision:
    assert view.primary is not None
    return UsePrimary(upstream_id=view.primary, term=view.term)
