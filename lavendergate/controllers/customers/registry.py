"""Customers of a proxy's callers, by the route table in force."""

from collections.abc import Callable

from lavendergate.controllers.fleet_view import FleetView
from lavendergate.core.customers.identity import Identity, identify
from lavendergate.core.customers.lease import KeyLease
from lavendergate.core.customers.table import Customer, KeyDigest
from lavendergate.core.routes import Route
from lavendergate.observability.log import EventLog
from lavendergate.observability.session_events import SessionEvent

_MS_PER_S = 1000


class CustomerRegistry:
    """Identifies customers by the digests of their keys.

    Parameters
    ----------
    view
        Provides the route table in force, which contains the customers.
    lease_s
        Time for which keys are admitted after the last proof that the table
        is the newest one, in seconds; None for no limit.
    real_clock
        Time that also passes while the host is suspended, in seconds.
    events
        Receives the loss and the renewal of the lease.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        lease_s: float | None,
        real_clock: Callable[[], float],
        events: EventLog,
    ) -> None:
        self._view = view
        self._lease = KeyLease(duration_s=lease_s)
        self._real_clock = real_clock
        self._events = events
        self._lost_at: float | None = None
        self._has_proof = lease_s is None

    @property
    def has_proof(self) -> bool:
        """Whether the table was ever proven to be the newest one."""
        return self._has_proof

    @property
    def can_admit_keys(self) -> bool:
        """Whether callers with a valid key would be served now."""
        if self._view.routes.customers is None:
            return True
        return self._covers(self._real_clock())

    def renew(self, proven_at: float) -> None:
        """Record that the table in force was the newest one at a time.

        Parameters
        ----------
        proven_at
            On the real clock, in seconds.
        """
        self._has_proof = True
        self._lease.renew(proven_at)
        now = self._real_clock()
        if self._lost_at is not None and self._lease.covers(now):
            lost_ms = round((now - self._lost_at) * _MS_PER_S)
            self._lost_at = None
            self._events.emit(
                SessionEvent.key_lease_regained,
                version=self._view.routes.version,
                lost_ms=lost_ms,
            )

    def identify(
        self, digest: KeyDigest | None, route: Route, arrived_at: float
    ) -> Identity:
        """Return the customer of a statement, or why it has none.

        Parameters
        ----------
        arrived_at
            Arrival of the statement on the real clock, in seconds.
        """
        customers = self._view.routes.customers
        return identify(
            customers,
            digest,
            is_public=route.is_public,
            is_proven=customers is None or self._covers(arrived_at),
        )

    def still_holds(self, customer: Customer, digest: KeyDigest | None) -> bool:
        """Return whether a customer holds a key in the table in force."""
        customers = self._view.routes.customers
        if customers is None or digest is None:
            return customers is None
        return customers.holds(customer.name, digest)

    def _covers(self, arrived_at: float) -> bool:
        if self._lease.covers(arrived_at):
            return True
        if self._lost_at is None and self._has_proof:
            self._lost_at = self._real_clock()
            self._events.emit(
                SessionEvent.key_lease_lost, version=self._view.routes.version
            )
        return False
