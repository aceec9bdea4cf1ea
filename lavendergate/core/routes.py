"""Route table: maps databases to services and their consistency.

The table is a versioned document. The highest version is in force; a proxy
ignores a version that is not higher than the one it has accepted.
"""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NewType

from lavendergate.core.customers.table import CustomerTable
from lavendergate.core.types import GroupId

RoutesVersion = NewType('RoutesVersion', int)
NO_ROUTES = RoutesVersion(0)

DEFAULT_TRANSACTION_IDLE_MS = 3000


@enum.unique
class Consistency(enum.Enum):
    """Commits that a read through a route must include."""

    primary = 'primary'
    bounded_staleness = 'bounded_staleness'
    read_own_writes = 'read_own_writes'


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Route of one database that callers may use.

    Parameters
    ----------
    timeout_ms
        Timeout of one statement, in milliseconds.
    target_latency_ms
        Time within which a whole operation should be answered, in
        milliseconds.
    priority
        Priority of statements; 0 is the highest and is served first.
    max_staleness_ms
        Maximum age in milliseconds of commits that a read may miss; 0 on
        primary routes.
    is_public
        Whether callers without a key of a customer may use the route.
    """

    name: str
    database: str
    service: GroupId
    consistency: Consistency
    timeout_ms: int
    target_latency_ms: int
    priority: int
    max_staleness_ms: int = 0
    is_public: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceLimits:
    """Connection and replication limits of a service.

    Parameters
    ----------
    max_connections
        Maximum number of connections that each member accepts, from all
        callers together.
    synchronous_replicas
        Number of replicas that receive a commit before it is acknowledged.
    """

    service: GroupId
    max_connections: int
    synchronous_replicas: int


@dataclass(frozen=True, kw_only=True, slots=True)
class RouteTable:
    """Routes and service limits in force.

    Parameters
    ----------
    routes
        Route by name of the database.
    transaction_idle_ms
        Time after which an idle transaction may be ended, in milliseconds.
    customers
        Customers and their keys; None if callers are not identified.
    """

    version: RoutesVersion = NO_ROUTES
    routes: Mapping[str, Route] = field(default_factory=dict)
    services: Mapping[GroupId, ServiceLimits] = field(default_factory=dict)
    transaction_idle_ms: int = DEFAULT_TRANSACTION_IDLE_MS
    customers: CustomerTable | None = None
