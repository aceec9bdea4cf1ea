"""Decoders for the operator's route document and members' announcements."""

from typing import Literal

import msgspec
from result import Err, Ok, Result

from lavendergate.core.customers.table import (
    Customer,
    CustomerName,
    CustomerTable,
    OperationLimit,
    build_customer_table,
)
from lavendergate.core.fleet_directory import MemberAvailability, MemberEntry
from lavendergate.core.routes import (
    DEFAULT_TRANSACTION_IDLE_MS,
    Consistency,
    Route,
    RoutesVersion,
    RouteTable,
    ServiceLimits,
)
from lavendergate.core.types import FailureDomain, GroupId, UpstreamId
from lavendergate.platform.customer_documents import (
    CustomerDocument,
    describe_entry,
    find_customer_problem,
)

_DEFAULT_CONNECTIONS = 16


class _RouteDocument(msgspec.Struct, frozen=True, kw_only=True, rename='camel'):
    name: str
    database: str
    service: str
    route_type: Consistency
    timeout_ms: int
    path_prefix: str = '/'
    target_latency_ms: int = 1000
    priority: int = 0
    max_staleness_ms: int = 0
    public: bool = False


class _ServiceDocument(
    msgspec.Struct, frozen=True, kw_only=True, rename='camel'
):
    name: str
    max_conns: int = _DEFAULT_CONNECTIONS
    sync_replicas: int = 0


class _LimitsDocument(
    msgspec.Struct, frozen=True, kw_only=True, rename='camel'
):
    txn_idle_ms: int = DEFAULT_TRANSACTION_IDLE_MS


class _RouteTableDocument(
    msgspec.Struct, frozen=True, kw_only=True, rename='camel'
):
    version: int
    routes: tuple[_RouteDocument, ...]
    services: tuple[_ServiceDocument, ...]
    limits: _LimitsDocument = _LimitsDocument()
    tenants: tuple[CustomerDocument, ...] | None = None


class _AnnouncementDocument(
    msgspec.Struct, frozen=True, kw_only=True, rename='camel'
):
    """Announcement of a member.

    Parameters
    ----------
    service
        Group of the member.
    born
        Unix time of the member's start, in milliseconds.
    """

    service: str
    address: str
    state: Literal['ready', 'draining']
    sequence: int
    db_role: Literal['primary', 'replica']
    zone: str = ''
    capacity: int = 1
    born: int = 0


def decode_routes(content: bytes) -> Result[RouteTable, str]:
    """Decode and validate the operator's route document.

    Returns
    -------
    The route table, or an error message if the document is invalid.
    """
    try:
        document = msgspec.json.decode(content, type=_RouteTableDocument)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Err(
            f'cannot decode the route document: {error}'
            f'{describe_entry(content, error)}'
        )
    problem = _find_problem(document)
    if problem is not None:
        return Err(problem)
    return Ok(
        RouteTable(
            version=RoutesVersion(document.version),
            routes={
                route.database: _build_route(route) for route in document.routes
            },
            services={
                GroupId(service.name): ServiceLimits(
                    service=GroupId(service.name),
                    max_connections=service.max_conns,
                    synchronous_replicas=service.sync_replicas,
                )
                for service in document.services
            },
            transaction_idle_ms=document.limits.txn_idle_ms,
            customers=_build_customers(document.tenants),
        )
    )


def decode_announcement(
    upstream_id: str, content: bytes
) -> Result[MemberEntry, str]:
    """Decode a member's announcement.

    Returns
    -------
    The member's entry, or an error message if the announcement is invalid.
    """
    try:
        announcement = msgspec.json.decode(content, type=_AnnouncementDocument)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Err(f'cannot decode the announcement: {error}')
    ip, _, port = announcement.address.rpartition(':')
    if not (ip and port.isdecimal()):
        return Err(
            f'invalid address {announcement.address!r}: expected ip:port'
        )
    return Ok(
        MemberEntry(
            upstream_id=UpstreamId(upstream_id),
            service=GroupId(announcement.service),
            address=announcement.address,
            failure_domain=FailureDomain(announcement.zone),
            slots=announcement.capacity,
            availability=MemberAvailability(announcement.state),
            is_primary=announcement.db_role == 'primary',
            born=announcement.born,
            sequence=announcement.sequence,
        )
    )


def _find_problem(document: _RouteTableDocument) -> str | None:
    services = {service.name for service in document.services}
    served: set[tuple[str, str]] = set()
    for route in document.routes:
        target = (route.database, route.path_prefix)
        if route.service not in services:
            return f'route {route.name} names unknown service {route.service}'
        if target in served:
            return (
                f'two routes serve database {route.database} with path prefix '
                f'{route.path_prefix}'
            )
        if route.timeout_ms <= 0:
            return (
                f'route {route.name} has timeoutMs {route.timeout_ms}: '
                'expected a value above 0'
            )
        served.add(target)
    if document.version <= 0:
        return f'version {document.version} is not above 0'
    return find_customer_problem(document.tenants or ())


def _build_route(route: _RouteDocument) -> Route:
    return Route(
        name=route.name,
        database=route.database,
        service=GroupId(route.service),
        consistency=route.route_type,
        timeout_ms=route.timeout_ms,
        target_latency_ms=route.target_latency_ms,
        priority=route.priority,
        max_staleness_ms=route.max_staleness_ms,
        is_public=route.public,
    )


def _build_customers(
    documents: tuple[CustomerDocument, ...] | None,
) -> CustomerTable | None:
    if documents is None:
        return None
    return build_customer_table(
        (_build_customer(document), document.api_keys) for document in documents
    )


def _build_customer(document: CustomerDocument) -> Customer:
    limit = None
    if document.rate_per_s is not None:
        limit = OperationLimit(
            rate_per_s=document.rate_per_s, burst=document.burst
        )
    return Customer(
        name=CustomerName(document.name),
        priority=document.priority,
        limit=limit,
    )
