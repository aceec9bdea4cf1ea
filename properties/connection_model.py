"""Model of pooled connections with answers that arrive late."""

from collections import deque
from dataclasses import dataclass, field

from lavendergate.core.pool import (
    Assign,
    Close,
    ConnectionId,
    Effects,
    MemberPool,
    Open,
    OwnerId,
    PoolSettings,
)
from properties.proxy_decisions import ProxyDecisions


@dataclass(kw_only=True, slots=True)
class _Wire:
    """One connection: answers not read yet, and the open transaction."""

    answers: deque[int] = field(default_factory=deque)
    transaction: int | None = None


class PooledMember:
    """Connections of one proxy to one member, over the real pool."""

    def __init__(
        self, decisions: ProxyDecisions, violations: list[str]
    ) -> None:
        """Create a pool with a share of two connections."""
        self._decisions = decisions
        self._violations = violations
        self._pool = MemberPool(share=2, settings=PoolSettings())
        self._wires: dict[ConnectionId, _Wire] = {}
        self._assigned: dict[int, ConnectionId] = {}

    def start(self, owner: int, now: float) -> bool:
        """Obtain a connection and begin a transaction on it."""
        self._apply(self._pool.acquire(OwnerId(owner)), now)
        connection_id = self._assigned.get(owner)
        if connection_id is None:
            self._pool.cancel(OwnerId(owner))
            return False
        wire = self._wires[connection_id]
        if wire.transaction not in {None, owner}:
            self._violations.append('I3: transactions mixed on a connection')
        wire.transaction = owner
        return True

    def exchange(self, owner: int, *, answered: bool) -> None:
        """Send a statement and read its answer unless it is late."""
        wire = self._wires[self._assigned[owner]]
        wire.answers.append(owner)
        if answered and wire.answers.popleft() != owner:
            self._violations.append('I4: a caller read the answer of another')

    def end(
        self,
        owner: int,
        now: float,
        *,
        answered: bool,
        committed: bool,
    ) -> None:
        """Release or retire the connection."""
        connection_id = self._assigned.pop(owner)
        if committed:
            self._wires[connection_id].transaction = None
        is_reusable = self._decisions.is_reusable(
            is_answered=answered,
            has_transaction=not committed,
        )
        if is_reusable:
            owner_id = OwnerId(owner)
            effects = self._pool.release(connection_id, owner_id, now)
        else:
            effects = self._pool.retire(connection_id)
        self._apply(effects, now)

    def _apply(self, effects: Effects, now: float) -> None:
        for effect in effects:
            match effect:
                case Assign(owner_id=owner_id, connection_id=connection_id):
                    self._assigned[int(owner_id)] = connection_id
                case Open(connection_id=connection_id):
                    self._wires[connection_id] = _Wire()
                    if len(self._wires) > self._pool.share:
                        self._violations.append('the share is exceeded')
                    self._apply(self._pool.opened(connection_id, now), now)
                case Close(connection_id=connection_id):
                    self._wires.pop(connection_id)
                    self._apply(self._pool.closed(connection_id), now)
