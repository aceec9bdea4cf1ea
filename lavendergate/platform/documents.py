"""Decoders for the operator's route document and members' announcements."""

from collections.abc import Callable
from typing import Literal

import msgspec
from result import Err, Ok, Result

from lavendergate.core.bounds.addresses import is_word
from lavendergate.core.bounds.decoding import (
    InvalidValueError,
    decode_accepted_json,
    decode_json,
)
from lavendergate.core.bounds.ranges import (
    MAX_COUNT,
    MAX_NAME_CHARACTERS,
    MAX_UNSIGNED,
    Address,
    Count,
    DurationMs,
    Integer,
    Name,
    PositiveMs,
    Slots,
    UnixMs,
    Word,
)
from lavendergate.core.control_routes import unpack_routes
from lavendergate.core.customers.table import (
    Customer,
    CustomerName,
    CustomerTable,
    OperationLimit,
    build_customer_table,
)
from lavendergate.core.errors import quoted
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
# Messages must not show the keys of customers.
_CUSTOMERS_PATH = '$.tenants'


class _RouteDocument(msgspec.Struct, frozen=True, kw_only=True, rename='camel'):
    name: str
    database: str
    service: str
    route_type: Consistency
    timeout_ms: PositiveMs
    path_prefix: str = '/'
    target_latency_ms: DurationMs = 1000
    priority: Integer = 0
    max_staleness_ms: DurationMs = 0
    public: bool = False


class _ServiceDocument(
    msgspec.Struct, frozen=True, kw_only=True, rename='camel'
):
    name: Word
    max_conns: Count = _DEFAULT_CONNECTIONS
    sync_replicas: Count = 0


class _LimitsDocument(
    msgspec.Struct, frozen=True, kw_only=True, rename='camel'
):
    txn_idle_ms: DurationMs = DEFAULT_TRANSACTION_IDLE_MS


class _RouteTableDocument(
    msgspec.Struct, frozen=True, kw_only=True, rename='camel'
):
    # An earlier build accepted versions of 64 bits without a sign.
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
    version
        Version of the member's software; not used.
    warmup_left_ms
        How much longer the member remains slow; not used.
    born
        Unix time of the member's start, in milliseconds; 0 if it does not
        say. The examples of the platform's pages do without it.
    """

    service: Word
    address: Address
    zone: Name
    version: str
    capacity: Slots
    state: Literal['ready', 'draining']
    warmup_left_ms: DurationMs
    sequence: Count
    db_role: Literal['primary', 'replica']
    born: UnixMs = 0


def decode_routes(content: bytes) -> Result[RouteTable, str]:
    """Decode and validate the operator's route document.

    Returns
    -------
    The route table, or an error message if the document is invalid.
    """
    decoded = _decode_routes(content, decode_json)
    if isinstance(decoded, Ok) and decoded.ok_value.version > MAX_COUNT:
        return Err(f'version {decoded.ok_value.version} is above {MAX_COUNT}')
    return decoded


def decode_accepted_routes(packed: bytes) -> Result[RouteTable, str]:
    """Decode a route document that control hosts have accepted.

    An earlier build may have accepted fields, which are not read, with bytes
    that are no UTF-8 or with deep nesting. The document stays in force.

    Parameters
    ----------
    packed
        The document, compressed as in the log.

    Returns
    -------
    The route table, or an error message if it cannot be read.
    """
    try:
        content = unpack_routes(packed)
    except InvalidValueError as error:
        return Err(str(error))
    return _decode_routes(content, decode_accepted_json)


def decode_route_list(content: bytes) -> tuple[Route, ...]:
    """Decode all routes of a valid route document, in its order.

    A route table keeps one route for each database.

    Raises
    ------
    InvalidValueError
        If the document is invalid; see `decode_routes`.
    """
    document = decode_json(
        content, _RouteTableDocument, secret_path=_CUSTOMERS_PATH
    )
    return tuple(_build_route(route) for route in document.routes)


def decode_announcement(
    upstream_id: str, content: bytes
) -> Result[MemberEntry, str]:
    """Decode a member's announcement.

    Returns
    -------
    The member's entry, or an error message if the announcement is invalid.
    """
    if len(upstream_id) > MAX_NAME_CHARACTERS or not is_word(upstream_id):
        return Err(
            f'invalid id {quoted(upstream_id)}: expected 1 to '
            f'{MAX_NAME_CHARACTERS} characters, no blanks or control characters'
        )
    try:
        announcement = decode_json(content, _AnnouncementDocument)
    except InvalidValueError as error:
        return Err(f'cannot decode the announcement: {error}')
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


def _decode_routes(
    content: bytes, decode: Callable[..., _RouteTableDocument]
) -> Result[RouteTable, str]:
    try:
        document = decode(
            content, _RouteTableDocument, secret_path=_CUSTOMERS_PATH
        )
    except InvalidValueError as error:
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
        served.add(target)
    if not 0 < document.version <= MAX_UNSIGNED:
        version = quoted(str(document.version))
        return f'version {version} is not between 0 and {MAX_UNSIGNED}'
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
