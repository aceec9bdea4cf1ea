"""Ended starts of members, by service."""

from dataclasses import dataclass, replace

from lavendergate.core.types import GroupId, LogPosition, UpstreamId


@dataclass(frozen=True, kw_only=True, slots=True)
class Departure:
    """A start of a member that has ended.

    Parameters
    ----------
    born
        Unix time of the start, in milliseconds.
    ended_at
        Time at which this host knew that the start had ended, in seconds on
        a clock that also runs while the host is suspended.
    bound
        Position that the primary reported afterwards. It is not below any
        position that the start confirmed. None until the primary reports.
    """

    upstream_id: UpstreamId
    born: int
    ended_at: float
    bound: LogPosition | None = None


class DepartureLedger:
    """Ended starts whose commits may not be on all members yet."""

    def __init__(self) -> None:
        self._departures: dict[
            GroupId, dict[tuple[UpstreamId, int], Departure]
        ] = {}

    def of_service(self, service: GroupId) -> tuple[Departure, ...]:
        """Return the departures of a service."""
        return tuple(self._departures.get(service, {}).values())

    def record(self, service: GroupId, departure: Departure) -> None:
        """Record that a start has ended, unless it is recorded already."""
        key = (departure.upstream_id, departure.born)
        self._departures.setdefault(service, {}).setdefault(key, departure)

    def discard(
        self, service: GroupId, upstream_id: UpstreamId, born: int
    ) -> None:
        """Remove a start that is settled, or that turned out to run."""
        self._departures.get(service, {}).pop((upstream_id, born), None)

    def record_primary(
        self, service: GroupId, position: LogPosition, asked_at: float
    ) -> None:
        """Bound the starts that had ended before the primary was asked.

        Parameters
        ----------
        position
            Position that the primary reported.
        asked_at
            When it was asked, on the clock of `Departure.ended_at`.
        """
        departures = self._departures.get(service, {})
        for key, departure in departures.items():
            if departure.bound is None and departure.ended_at <= asked_at:
                departures[key] = replace(departure, bound=position)

    def lower_bound(
        self,
        service: GroupId,
        upstream_id: UpstreamId,
        born: int,
        position: LogPosition,
    ) -> None:
        """Bound a start that had ended before it was recorded here.

        Parameters
        ----------
        position
            Position that the primary reported after the start had ended. A
            later report is higher, or of a primary whose newest commits were
            lost with it, so the lowest one stays.
        """
        departures = self._departures.get(service, {})
        departure = departures.get((upstream_id, born))
        if departure is None:
            return
        bound = departure.bound
        if bound is None or position < bound:
            departures[upstream_id, born] = replace(departure, bound=position)

    def settle(
        self, service: GroupId, received: LogPosition
    ) -> tuple[Departure, ...]:
        """Remove and return the starts whose commits are on all members.

        Parameters
        ----------
        received
            Lowest position among all members of the service.
        """
        settled = tuple(
            departure
            for departure in self.of_service(service)
            if departure.bound is not None and departure.bound <= received
        )
        for departure in settled:
            self.discard(service, departure.upstream_id, departure.born)
        return settled
