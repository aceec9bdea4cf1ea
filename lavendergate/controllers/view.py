"""Views of a control host on the replicated log, published to readers."""

from collections.abc import AsyncIterator
from dataclasses import dataclass, field, replace

import anyio

from lavendergate.core.consensus.quorum import has_quorum, quorum_until
from lavendergate.core.consensus.state import Leader, NodeState
from lavendergate.core.consensus.types import (
    Configuration,
    ConsensusTerm,
    NodeId,
)
from lavendergate.core.control_state import ControlState


@dataclass(frozen=True, kw_only=True, slots=True)
class ControlView:
    """State of a control host at one moment.

    Parameters
    ----------
    version
        Number that increases with each published view.
    state
        Applied state; on a follower it may be older than the leader's.
    is_leader
        Whether the host considers itself the leader. Only a confirmed read or
        a committed command proves that it is.
    has_quorum
        Whether the host leads and a majority answered within an election
        timeout, or follows a leader.
    leader_address
        Address of the leader, ``ip:port``, if known.
    initialised
        Whether the host belongs to an initialised cluster.
    previous_term
        While the host leads, the newest earlier term whose leader committed
        an entry; 0 otherwise.
    has_committed
        Whether the host leads and its first entry is committed.
    leader_known_until
        Monotonic time until which the messages so far show who leads, in
        seconds.
    """

    version: int
    state: ControlState
    identity: NodeId
    is_leader: bool
    has_quorum: bool
    leader_address: str | None
    term: ConsensusTerm
    commit_index: int
    initialised: bool
    configuration: Configuration | None
    leader_known_until: float = field(compare=False)
    previous_term: ConsensusTerm = ConsensusTerm(0)
    has_committed: bool = False

    def without_leader(self) -> 'ControlView':
        """Return this view for a time when nothing shows who leads."""
        return replace(
            self, is_leader=False, has_quorum=False, leader_address=None
        )


class ViewPublisher:
    """Publishes views to any number of readers.

    A slow reader may miss intermediate views, but never the last one.
    """

    def __init__(self) -> None:
        self._view: ControlView | None = None
        self._changed = anyio.Event()

    @property
    def view(self) -> ControlView:
        """Latest view.

        Raises
        ------
        RuntimeError
            If the node has not started.
        """
        if self._view is None:
            raise RuntimeError(
                'the control node has not read its storage yet: start `run` '
                'and wait until it has started'
            )
        return self._view

    def publish(self, node: NodeState, state: ControlState, now: float) -> None:
        """Replace the view, and wake the readers if more than times changed."""
        version = self._view.version if self._view else 0
        view = _view_of(node, state, now, version)
        if self._view is not None and _is_same(view, self._view):
            self._view = view
            return
        self._view = replace(view, version=version + 1)
        self._changed.set()
        self._changed = anyio.Event()

    async def wait_for_newer(self, version: int) -> ControlView:
        """Wait for a view with a higher version than this one."""
        while self._view is None or self._view.version <= version:
            await self._changed.wait()
        return self._view

    async def views(self) -> AsyncIterator[ControlView]:
        """Iterate over the current view and all later ones."""
        version = 0
        while True:
            view = await self.wait_for_newer(version)
            version = view.version
            yield view


def _is_same(view: ControlView, other: ControlView) -> bool:
    # The state is compared by identity, because it is large and immutable. A
    # higher commit index alone is no change.
    if view.state is not other.state:
        return False
    return replace(view, commit_index=other.commit_index) == other


def _view_of(
    node: NodeState, state: ControlState, now: float, version: int
) -> ControlView:
    role = node.role
    return ControlView(
        version=version,
        state=state,
        identity=node.identity,
        is_leader=isinstance(role, Leader),
        has_quorum=_has_quorum(node, now),
        leader_address=leader_address(node),
        term=node.term,
        commit_index=node.commit_index,
        initialised=bool(node.hard_state.cluster_id),
        configuration=node.configuration,
        leader_known_until=_leader_known_until(node),
        previous_term=role.previous_term
        if isinstance(role, Leader)
        else ConsensusTerm(0),
        has_committed=isinstance(role, Leader)
        and node.commit_index >= role.first_index,
    )


def leader_address(node: NodeState) -> str | None:
    """Return the address of the leader, if it is known."""
    if node.leader is None or node.configuration is None:
        return None
    return node.configuration.address(node.leader) or None


def _has_quorum(node: NodeState, now: float) -> bool:
    if isinstance(node.role, Leader):
        return has_quorum(node, node.role, now)
    return node.leader is not None


def _leader_known_until(node: NodeState) -> float:
    if isinstance(node.role, Leader):
        return quorum_until(node, node.role)
    return node.election_at
