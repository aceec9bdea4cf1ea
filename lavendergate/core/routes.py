"""Route table: which database leads to which service, and how.

The table is a versioned document. The highest version is in force, and a
version that is not higher than the accepted one changes nothing.
"""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NewType

from lavendergate.core.types import GroupId

RoutesVersion = NewType('RoutesVersion', int)
NO_ROUTES = RoutesVersion(0)

DEFAULT_TRANSACTION_IDLE_MS = 3000


@enum.unique
class Consistency(enum.Enum):
    """What a read through a route must include."""

    primary = 'primary'
    bounded_staleness = 'bounded_staleness'
    read_own_writes = 'read_own_writes'


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """A database that callers may use.

    Parameters
    ----------
    timeout_ms
        Longest time for one statement.
    target_latency_ms
        Time within which a whole operation should be answered.
    priority
        0 is served first.
    max_staleness_ms
        Age of commits that a read may lack; 0 on primary routes.
    """

    name: str
    database: str
    service: GroupId
    consistency: Consistency
    timeout_ms: int
    target_latency_ms: int
    priority: int
    max_staleness_ms: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceLimits:
    """Limits of a service.

    Parameters
    ----------
    max_connections
        Connections that each member accepts from all callers together.
    synchronous_replicas
        Replicas that receive a commit before it is acknowledged.
    """

    service: GroupId
    max_connections: int
    synchronous_replicas: int


@dataclass(frozen=True, kw_only=True, slots=True)
class RouteTable:
    """All routes in force.

    Parameters
    ----------
    routes
        Route of each database.
    transaction_idle_ms
        Time after which an idle transaction may be ended.
    """

    version: RoutesVersion = NO_ROUTES
    routes: Mapping[str, Route] = field(default_factory=dict)
    services: Mapping[GroupId, ServiceLimits] = field(default_factory=dict)
    transaction_idle_ms: int = DEFAULT_TRANSACTION_IDLE_MS
