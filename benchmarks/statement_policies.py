"""Routing policies that the measurements compare."""

from collections.abc import Mapping
from typing import NamedTuple

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

_SETTINGS = RoutingPolicy(region=Region('region'))
_LONG_WAIT_MS = 2000


class RoutingInput(NamedTuple):
    """What routing decides on, apart from the request."""

    view: GroupView
    loads: Loads
    known: Mapping[UpstreamId, LogPosition]
    now: float
    tie: float


class Policy:
    """The routing of the real cores.

    Attributes
    ----------
    name
        Name in the printed tables.
    confirms
        Whether writes wait for the confirmation by a majority.
    """

    name = 'lavendergate'
    confirms = True

    def __call__(
        self,
        request: Request,
        given: RoutingInput,
    ) -> Decision:
        """Route a statement."""
        return route(
            request,
            given.view,
            given.loads,
            given.now,
            policy=_SETTINGS,
            known=given.known,
            tie_breaker=given.tie,
        )


class NaivePolicy(Policy):
    """Primary only, acknowledged at once."""

    name = 'naive'
    confirms = False

    def __call__(
        self,
        request: Request,
        given: RoutingInput,
    ) -> Decision:
        """Send everything to the primary."""
        return _primary(given.view)


class SessionPrimaryPolicy(Policy):
    """Session reads on the primary, bounded reads as in the real cores."""

    name = 'session reads on primary'

    def __call__(
        self,
        request: Request,
        given: RoutingInput,
    ) -> Decision:
        """Send session reads with a token to the primary."""
        if isinstance(request, SessionRead) and request.position is not None:
            return _primary(given.view)
        return super().__call__(request, given)


class RoundRobinPolicy(Policy):
    """Replicas in turn, with a wait for the position of a session."""

    name = 'round robin with wait'

    def __init__(self) -> None:
        """Begin with the first replica."""
        self._turn = 0

    def __call__(
        self,
        request: Request,
        given: RoutingInput,
    ) -> Decision:
        """Send a read to the next replica."""
        self._turn += 1
        replicas = [
            member.upstream_id
            for member in given.view.members
            if member.upstream_id != given.view.primary
        ]
        name = replicas[self._turn % len(replicas)]
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
                return super().__call__(request, given)


def _primary(view: GroupView) -> Decision:
    assert view.primary is not None
    return UsePrimary(upstream_id=view.primary, term=view.term)
