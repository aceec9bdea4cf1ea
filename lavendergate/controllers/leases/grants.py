"""Leases of the control leader on the primaries of all services."""

from collections.abc import Callable, Iterable

import anyio
from result import Err

from lavendergate.controllers.control_node import ControlNode
from lavendergate.core.consensus.types import ConsensusTerm
from lavendergate.core.leases.granting import LeaseLedger
from lavendergate.core.types import GroupId
from lavendergate.observability.log import EventLog
from lavendergate.observability.session_events import SessionEvent

# Interval at which the leader confirms that it still leads, in seconds.
_CONFIRMATION_INTERVAL_S = 0.2
# The same until it has confirmed it for the first time.
_FIRST_CONFIRMATION_INTERVAL_S = 0.04


class LeaseGrants:
    """Grants leases while this host leads.

    Parameters
    ----------
    node
        Node of the replicated log; its confirmed reads prove that this host
        leads.
    real_clock
        Time that also passes while the host is suspended, in seconds.
    on_grant
        Called when a service is leased again.
    """

    def __init__(
        self,
        *,
        node: ControlNode,
        real_clock: Callable[[], float],
        events: EventLog,
    ) -> None:
        self._node = node
        self._real_clock = real_clock
        self._events = events
        self._ledger: LeaseLedger | None = None
        self._term: ConsensusTerm | None = None
        self.on_grant: Callable[[], None] | None = None

    @property
    def confirmed_at(self) -> float:
        """Latest time at which this host is known to have led, in seconds."""
        ledger = self._current()
        return float('-inf') if ledger is None else ledger.confirmed_at

    async def run(self) -> None:
        """Confirm the leadership periodically until cancelled."""
        while True:
            await anyio.sleep(
                _FIRST_CONFIRMATION_INTERVAL_S
                if self._current() is None
                else _CONFIRMATION_INTERVAL_S
            )
            await self.confirm()

    async def confirm(self) -> bool:
        """Confirm that this host leads; return whether it does."""
        view = self._node.view
        if not view.is_leader:
            self._ledger = None
            return False
        asked_at = self._real_clock()
        confirmed = await self._node.read_state()
        if isinstance(confirmed, Err) or self._node.view.term != view.term:
            return False
        ledger = self._current()
        if ledger is None:
            self._term = view.term
            self._ledger = LeaseLedger(
                leading_since=self._real_clock(), confirmed_at=asked_at
            )
        else:
            ledger.confirmed_at = max(ledger.confirmed_at, asked_at)
        return True

    def grant(self, service: GroupId) -> None:
        """Lease the primary of a service from now on."""
        ledger = self._current()
        if ledger is not None and ledger.grant(service):
            self._events.emit(SessionEvent.lease_granted, service=service)
            if self.on_grant is not None:
                self.on_grant()

    def withhold(self, service: GroupId) -> None:
        """Lease the primary of a service no longer."""
        ledger = self._current()
        if ledger is not None and ledger.is_granted(service):
            ledger.withhold(service, self._real_clock())
            self._events.emit(SessionEvent.lease_withheld, service=service)

    def begin_replacing(self, service: GroupId) -> None:
        """Lease a service no longer and announce that it is taken over."""
        self.withhold(service)
        ledger = self._current()
        if ledger is not None:
            ledger.replacing.add(service)

    def end_replacing(self, service: GroupId) -> None:
        """Announce that the takeover of a service has ended."""
        ledger = self._current()
        if ledger is not None:
            ledger.replacing.discard(service)

    def replacing(self) -> tuple[GroupId, ...]:
        """Return the services that are being taken over."""
        ledger = self._current()
        return () if ledger is None else tuple(ledger.replacing)

    def is_granted(self, service: GroupId) -> bool:
        """Return whether the primary of a service is leased."""
        ledger = self._current()
        return ledger is not None and ledger.is_granted(service)

    def withheld(self, services: Iterable[GroupId]) -> tuple[GroupId, ...]:
        """Return the services among these that are not leased."""
        return tuple(
            service for service in services if not self.is_granted(service)
        )

    def lease_s(self) -> float:
        """Return the duration of a lease that is granted now, in seconds."""
        ledger = self._current()
        return 0 if ledger is None else ledger.lease_s(self._real_clock())

    def remaining_s(self, service: GroupId) -> float:
        """Return the time until all leases of a service have expired.

        Infinite while the service is leased or this host does not lead.
        """
        ledger = self._current()
        if ledger is None:
            return float('inf')
        return ledger.remaining_s(service, self._real_clock())

    def _current(self) -> LeaseLedger | None:
        view = self._node.view
        if not view.is_leader or view.term != self._term:
            return None
        return self._ledger
