"""What a route table changes against the one in force."""

import dataclasses
from collections.abc import Iterable, Iterator

from lavendergate.core.customers.table import Customer, CustomerTable
from lavendergate.core.route_checks.findings import Finding, FindingKind
from lavendergate.core.routes import Route, RouteTable, ServiceLimits

_Entry = Route | ServiceLimits | Customer


def find_differences(
    table: RouteTable, in_force: RouteTable
) -> tuple[Finding, ...]:
    """Return what changes for callers if a table replaces the one in force."""
    return (
        *_version_problem(table, in_force),
        *_compare(
            'route',
            table.routes.values(),
            in_force.routes.values(),
            gone='callers of its database are refused',
        ),
        *_compare(
            'service',
            table.services.values(),
            in_force.services.values(),
            gone='its members get no more statements',
        ),
        *_idle_change(table, in_force),
        *_customer_changes(table.customers, in_force.customers),
    )


def _version_problem(
    table: RouteTable, in_force: RouteTable
) -> Iterator[Finding]:
    if table.version <= in_force.version:
        yield Finding(
            kind=FindingKind.error,
            subject=f'version {table.version}',
            text=f'version {in_force.version} is in force, so this one would '
            'be acknowledged and change nothing; use a higher version',
        )


def _idle_change(table: RouteTable, in_force: RouteTable) -> Iterator[Finding]:
    before, after = in_force.transaction_idle_ms, table.transaction_idle_ms
    if before != after:
        yield _change(
            'limits', f'idle transactions end after {after} ms, was {before} ms'
        )


def _customer_changes(
    table: CustomerTable | None, in_force: CustomerTable | None
) -> Iterator[Finding]:
    if in_force is None and table is not None:
        yield _change(
            'customers', 'callers need a key on all but public routes'
        )
        return
    if in_force is None or table is None:
        if in_force is not None:
            yield _change('customers', 'callers are no longer identified')
        return
    yield from _compare(
        'customer',
        table.customers.values(),
        in_force.customers.values(),
        gone='its callers are refused',
    )
    for name in table.customers.keys() & in_force.customers.keys():
        removed = in_force.digests_of(name) - table.digests_of(name)
        added = table.digests_of(name) - in_force.digests_of(name)
        if removed or added:
            yield _change(
                f'customer {name}',
                f'{len(added)} keys added, {len(removed)} taken away; callers '
                'with a key that is taken away are refused',
            )


def _compare(
    kind: str,
    entries: Iterable[_Entry],
    in_force: Iterable[_Entry],
    *,
    gone: str,
) -> Iterator[Finding]:
    new = {_name_of(entry): entry for entry in entries}
    old = {_name_of(entry): entry for entry in in_force}
    for name in sorted(old.keys() - new.keys()):
        yield _change(f'{kind} {name}', f'removed: {gone}')
    for name in sorted(new.keys() - old.keys()):
        yield _change(f'{kind} {name}', 'added')
    for name in sorted(new.keys() & old.keys()):
        for text in _changed_fields(old[name], new[name]):
            yield _change(f'{kind} {name}', text)


def _name_of(entry: _Entry) -> str:
    match entry:
        case ServiceLimits(service=service):
            return service
        case Route(name=name):
            return name
        case Customer(name=customer):
            return customer


def _changed_fields(before: _Entry, after: _Entry) -> Iterator[str]:
    for field in dataclasses.fields(before):
        old, new = getattr(before, field.name), getattr(after, field.name)
        if old != new:
            yield f'{field.name} {_show(new)}, was {_show(old)}'


def _show(value: object) -> str:
    return str(getattr(value, 'value', value))


def _change(subject: str, text: str) -> Finding:
    return Finding(kind=FindingKind.change, subject=subject, text=text)
