"""Entries of a route table that never apply, and limits that conflict."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from lavendergate.core.route_checks.findings import Finding, FindingKind
from lavendergate.core.routes import (
    Consistency,
    Route,
    RouteTable,
    ServiceLimits,
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Surroundings:
    """What the checks assume about the deployment.

    Parameters
    ----------
    window_s
        Sliding window of the customers' limits, in seconds.
    operations_per_s
        Operations per second that all members can run; None if unknown.
    replica_lag_ms
        Lag that replicas usually have, in milliseconds; None if unknown.
    """

    window_s: float = 5
    operations_per_s: float | None = None
    replica_lag_ms: int | None = None


def check_table(
    table: RouteTable, routes: Iterable[Route], surroundings: Surroundings
) -> tuple[Finding, ...]:
    """Return what never applies in a valid table, and its conflicts.

    Parameters
    ----------
    routes
        All routes in the order of the document. The table itself keeps one
        for each database.
    """
    return (
        *_unused_routes(table, routes),
        *_unused_services(table),
        *_unused_customers(table),
        *_route_conflicts(table, surroundings),
        *_customer_conflicts(table, surroundings),
    )


def _unused_routes(
    table: RouteTable, routes: Iterable[Route]
) -> Iterator[Finding]:
    for route in routes:
        used = table.routes.get(route.database)
        if used is not None and used.name != route.name:
            yield _unused(
                f'route {route.name}',
                f'route {used.name} serves the same database '
                f'{route.database!r}, so this one never applies; remove one',
            )


def _unused_services(table: RouteTable) -> Iterator[Finding]:
    named = {route.service for route in table.routes.values()}
    for service in table.services:
        if service not in named:
            yield _unused(
                f'service {service}',
                'no route names it; add a route or remove the service',
            )


def _unused_customers(table: RouteTable) -> Iterator[Finding]:
    if table.customers is None:
        return
    for customer in table.customers.customers.values():
        if not table.customers.has_key(customer.name):
            yield _unused(
                f'customer {customer.name}',
                'it has no key, so no caller can be this customer; add a key '
                'or remove the customer',
            )
    routes = table.routes.values()
    if routes and all(route.is_public for route in routes):
        yield _unused(
            'customers', 'all routes are public, so no key is ever checked'
        )


def _route_conflicts(
    table: RouteTable, surroundings: Surroundings
) -> Iterator[Finding]:
    for route in table.routes.values():
        yield from _check_route(
            route,
            table.services.get(route.service),
            table.transaction_idle_ms,
            surroundings,
        )


def _check_route(
    route: Route,
    limits: ServiceLimits | None,
    transaction_idle_ms: int,
    surroundings: Surroundings,
) -> Iterator[Finding]:
    subject = f'route {route.name}'
    is_bounded = route.consistency == Consistency.bounded_staleness
    lag_ms = surroundings.replica_lag_ms
    if route.target_latency_ms <= 0:
        yield _conflict(
            subject,
            f'the target latency of {route.target_latency_ms} ms can never be '
            'met; set it above 0',
        )
    if is_bounded and route.max_staleness_ms <= 0:
        yield _conflict(
            subject,
            'reads allow no staleness, so only the primary can serve them; '
            'set a bound above 0 or make the route a primary route',
        )
    if lag_ms is not None and 0 < route.max_staleness_ms < lag_ms:
        yield _conflict(
            subject,
            f'reads allow {route.max_staleness_ms} ms of staleness, below the '
            f'lag of the replicas of {lag_ms} ms, so that the primary has to '
            'serve them; allow more',
        )
    if transaction_idle_ms < route.timeout_ms:
        yield _conflict(
            subject,
            f'a statement may take {route.timeout_ms} ms, but a transaction '
            f'ends after {transaction_idle_ms} ms of idle time; raise the '
            'idle limit',
        )
    if limits is not None and limits.max_connections < 1:
        yield _conflict(
            f'service {route.service}',
            f'it accepts {limits.max_connections} connections, so route '
            f'{route.name} cannot be served; allow at least 1',
        )


def _customer_conflicts(
    table: RouteTable, surroundings: Surroundings
) -> Iterator[Finding]:
    if table.customers is None:
        return
    limited = tuple(
        (listed, listed.limit)
        for listed in table.customers.customers.values()
        if listed.limit is not None
    )
    for customer, limit in limited:
        allowed = limit.rate_per_s * surroundings.window_s + limit.burst
        if allowed < 1:
            yield _conflict(
                f'customer {customer.name}',
                f'its limit allows {allowed:g} operations in '
                f'{surroundings.window_s:g} s, less than one; raise the rate '
                'or the burst',
            )
    capacity = surroundings.operations_per_s
    total = sum(shared.rate_per_s for _, shared in limited)
    if capacity is not None and total > capacity:
        yield _conflict(
            'customers',
            f'their rates add up to {total:g} operations/s, more than the '
            f'{capacity:g} that the members can run; customers may be refused '
            'below their limits',
        )


def _unused(subject: str, text: str) -> Finding:
    return Finding(kind=FindingKind.unused, subject=subject, text=text)


def _conflict(subject: str, text: str) -> Finding:
    return Finding(kind=FindingKind.conflict, subject=subject, text=text)
