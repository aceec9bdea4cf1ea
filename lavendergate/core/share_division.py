"""Rules that divide the connections of a member among the proxies."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from lavendergate.core.types import HostId


@dataclass(frozen=True, kw_only=True, slots=True)
class Demand:
    """Demand of a proxy for the connections and slots of a member.

    Parameters
    ----------
    connections
        Number of connections in addition to the reserved one.
    slots
        Number of statements that would run concurrently on them.
    """

    connections: float
    slots: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Capacity:
    """Capacity of a member that is divided among the proxies."""

    connections: int
    slots: int


Demands = Mapping[HostId, Demand]
DivisionRule = Callable[[Capacity, Demands], dict[HostId, int]]


def divide_equally(capacity: Capacity, demands: Demands) -> dict[HostId, int]:
    """Divide into equal shares, independent of demand."""
    if not demands:
        return {}
    equal = capacity.connections / len(demands)
    return _round_to_total(capacity.connections, dict.fromkeys(demands, equal))


def divide_by_demand(capacity: Capacity, demands: Demands) -> dict[HostId, int]:
    """Divide in proportion to the demand for connections."""
    demanded = sum(demand.connections for demand in demands.values())
    if demanded <= 0:
        return divide_equally(capacity, demands)
    scale = capacity.connections / demanded
    return _round_to_total(
        capacity.connections,
        {host: demand.connections * scale for host, demand in demands.items()},
    )


def divide_kalai_smorodinsky(
    capacity: Capacity, demands: Demands
) -> dict[HostId, int]:
    """Divide by the Kalai-Smorodinsky bargaining solution.

    The utility of a proxy is the fraction of its demand for connections and
    slots that is met (Leontief utility). All proxies get the same fraction of
    what each would get if it were alone; the scarcer of the two resources
    limits this fraction.
    """
    standalone = {
        host: _standalone_fraction(capacity, demand)
        for host, demand in demands.items()
    }
    used_connections = sum(
        standalone[host] * demand.connections
        for host, demand in demands.items()
    )
    used_slots = sum(
        standalone[host] * demand.slots for host, demand in demands.items()
    )
    fraction = min(
        1.0,
        _ratio(capacity.connections, used_connections),
        _ratio(capacity.slots, used_slots),
    )
    wanted = {
        host: fraction * standalone[host] * demand.connections
        for host, demand in demands.items()
    }
    total = min(capacity.connections, round(sum(wanted.values())))
    return _round_to_total(total, wanted)


def _standalone_fraction(capacity: Capacity, demand: Demand) -> float:
    """Return the fraction of its demand that a proxy would get alone."""
    return min(
        1.0,
        _ratio(capacity.connections, demand.connections),
        _ratio(capacity.slots, demand.slots),
    )


def _ratio(available: float, used: float) -> float:
    return available / used if used > 0 else 1.0


def _round_to_total(
    total: int, exact: Mapping[HostId, float]
) -> dict[HostId, int]:
    """Round to integers by the largest remainder method.

    Amounts are rounded down; what is left of `total` goes to the proxies with
    the largest remainders, one each.
    """
    rounded = {host: int(amount) for host, amount in exact.items()}
    by_remainder = sorted(
        exact, key=lambda host: (rounded[host] - exact[host], host)
    )
    missing = max(0, total - sum(rounded.values()))
    for host in by_remainder[:missing]:
        rounded[host] += 1
    return rounded
