"""Decides which idle connection to a member serves a statement.

A member knows each connection by the customer for which it was opened, and
that cannot be changed later. A connection therefore serves one customer for
its whole life. There can be more customers than connections; then the
connection that was idle for longest makes room for another customer.
"""

from collections.abc import Mapping, Sequence
from typing import Protocol

from lavendergate.core.customers.table import CustomerName
from lavendergate.core.sessions.context import StatementContext


class IdleConnection(Protocol):
    """A connection that runs no statement and no transaction."""

    @property
    def customer(self) -> CustomerName | None:
        """Customer for which it was opened; None if it serves none."""

    @property
    def values(self) -> Mapping[str, str]:
        """Session variables that are set on it."""

    @property
    def is_relayed(self) -> bool:
        """Whether a home runs its statements.

        Such a session sends the customer with each statement and serves any
        of them.
        """


def find_reusable(
    idle: Sequence[IdleConnection],
    context: StatementContext,
    values: Mapping[str, str],
    *,
    direct_only: bool,
) -> int | None:
    """Return the index of the connection that should run a statement.

    Parameters
    ----------
    idle
        Idle connections, the last used one at the end.
    values
        Session variables of the statement; a connection on which they are
        set already is preferred.
    direct_only
        Whether the statement may not be relayed again.
    """
    usable = [
        index
        for index in reversed(range(len(idle)))
        if _can_serve(idle[index], context, direct_only=direct_only)
    ]
    if not usable:
        return None
    if context.is_system:
        return _least_wanted(idle, usable)
    return next(
        (index for index in usable if idle[index].values == values), usable[0]
    )


def find_replaceable(idle: Sequence[IdleConnection]) -> int | None:
    """Return the index of the connection to close for another one.

    Sessions that are relayed go first. They serve every customer, so one that
    is idle while a connection is missing is left from before the proxy became
    a home, and would keep a place that the home needs.
    """
    relayed = (
        index for index, connection in enumerate(idle) if connection.is_relayed
    )
    return next(relayed, 0 if idle else None)


def _least_wanted(idle: Sequence[IdleConnection], usable: list[int]) -> int:
    """Return the connection whose use delays customers least.

    A customer whose connection is in use for a status request has to open
    another one.
    """
    return next(
        (index for index in usable if idle[index].customer is None), usable[-1]
    )


def _can_serve(
    connection: IdleConnection,
    context: StatementContext,
    *,
    direct_only: bool,
) -> bool:
    if connection.is_relayed:
        return not direct_only
    return context.is_system or connection.customer == context.customer
