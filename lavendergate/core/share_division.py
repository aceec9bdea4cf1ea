"""Rules that divide a member's connections between proxies."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from lavendergate.core.types import HostId


@dataclass(frozen=True, kw_only=True, slots=True)
class Claim:
    """What a proxy would use of a member.

    Parameters
    ----------
    connections
        Connections beyond the reserved one.
    slots
        Statements that would execute at the same time on them.
    """

    connections: float
    slots: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Supply:
    """What a member has to divide."""

    connections: int
    slots: int


Claims = Mapping[HostId, Claim]
DivisionRule = Callable[[Supply, Claims], dict[HostId, int]]


def divide_equally(supply: Supply, claims: Claims) -> dict[HostId, int]:
    """Give all proxies the same number, whatever they demand."""
    if not claims:
        return {}
    equal = supply.connections / len(claims)
    return _round(supply.connections, dict.fromkeys(claims, equal))


def divide_by_demand(supply: Supply, claims: Claims) -> dict[HostId, int]:
    """Divide in proportion to the demanded connections."""
    demanded = sum(claim.connections for claim in claims.values())
    if demanded <= 0:
        return divide_equally(supply, claims)
    scale = supply.connections / demanded
    return _round(
        supply.connections,
        {host: claim.connections * scale for host, claim in claims.items()},
    )


def divide_kalai_smorodinsky(
    supply: Supply, claims: Claims
) -> dict[HostId, int]:
    """Divide by the Kalai-Smorodinsky bargaining solution.

    A proxy's utility is the part of its demand for connections and slots
    that is met (Leontief). All proxies get the same part of what each would
    get alone, as large as the scarcer of the two resources allows.
    """
    ideal = {host: _ideal(supply, claim) for host, claim in claims.items()}
    used_connections = sum(
        ideal[host] * claim.connections for host, claim in claims.items()
    )
    used_slots = sum(
        ideal[host] * claim.slots for host, claim in claims.items()
    )
    part = min(
        1.0,
        _ratio(supply.connections, used_connections),
        _ratio(supply.slots, used_slots),
    )
    wanted = {
        host: part * ideal[host] * claim.connections
        for host, claim in claims.items()
    }
    total = min(supply.connections, round(sum(wanted.values())))
    return _round(total, wanted)


def _ideal(supply: Supply, claim: Claim) -> float:
    """Return the part of a proxy's demand that it would get alone."""
    return min(
        1.0,
        _ratio(supply.connections, claim.connections),
        _ratio(supply.slots, claim.slots),
    )


def _ratio(available: float, used: float) -> float:
    return available / used if used > 0 else 1.0


def _round(total: int, exact: Mapping[HostId, float]) -> dict[HostId, int]:
    """Round down, then give what is left to the largest remainders."""
    rounded = {host: int(amount) for host, amount in exact.items()}
    by_remainder = sorted(
        exact, key=lambda host: (rounded[host] - exact[host], host)
    )
    missing = max(0, total - sum(rounded.values()))
    for host in by_remainder[:missing]:
        rounded[host] += 1
    return rounded
