"""Applies the state of a caller's session to a shared connection."""

from collections.abc import Mapping

import xxhash

from lavendergate.backends.sessions import AnswerLostError
from lavendergate.controllers.member_link import PooledSession
from lavendergate.controllers.members.turns import NoTimeError
from lavendergate.core.sessions.statements import (
    Execute,
    Prepare,
    Refused,
    ResetSession,
    SetValue,
    Shape,
    Statement,
)
from lavendergate.filters.sessions.base import CallerSession, DataStatement

_NAME_PREFIX = 'p'


class NotPreparedError(Exception):
    """The session state could not be applied; the statement did not run."""


def shared_statement_name(shape: Shape) -> str:
    """Return the name of a prepared statement on member connections.

    The name is derived from the statement. Callers that prepare the same
    statement share it on a connection, and names chosen by different callers
    never collide.
    """
    identity = f'{shape.access.value} {shape.text}'
    digest = xxhash.xxh3_64_hexdigest(identity.encode())
    return f'{_NAME_PREFIX}{digest}'


def with_shared_name(
    session: CallerSession, statement: DataStatement
) -> DataStatement:
    """Replace the caller's name of a prepared statement by the shared name."""
    match statement:
        case Execute(name=name, item=item, content=content):
            shape = session.prepared[name]
            return Execute(
                name=shared_statement_name(shape), item=item, content=content
            )
        case _:
            return statement


async def prepare_connection(
    connection: PooledSession,
    session: CallerSession,
    statement: DataStatement | None,
    *,
    timeout_s: float,
) -> None:
    """Set the session's values, and prepare the statement if it needs that.

    Each step is confirmed before the next one is sent, because a statement
    that ran with the values of another session cannot be undone.

    Parameters
    ----------
    timeout_s
        Time limit of all steps together, in seconds.

    Raises
    ------
    NotPreparedError
        If the member did not confirm a step.
    """
    deadline = connection.link.now() + timeout_s
    if connection.values.keys() - session.values.keys():
        await _run(connection, ResetSession(), deadline)
        connection.values = {}
        connection.prepared = set()
    for name, value in _values_to_set(connection, session.values).items():
        await _run(connection, SetValue(name=name, value=value), deadline)
        connection.values[name] = value
    if isinstance(statement, Execute):
        shape = session.prepared[statement.name]
        await _prepare_shape(connection, shape, deadline)


async def _prepare_shape(
    connection: PooledSession, shape: Shape, deadline: float
) -> None:
    name = shared_statement_name(shape)
    if name not in connection.prepared:
        await _run(connection, Prepare(name=name, shape=shape), deadline)
        connection.prepared.add(name)


def _values_to_set(
    connection: PooledSession, values: Mapping[str, str]
) -> dict[str, str]:
    return {
        name: value
        for name, value in values.items()
        if connection.values.get(name) != value
    }


async def _run(
    connection: PooledSession, statement: Statement, deadline: float
) -> None:
    timeout_s = deadline - connection.link.now()
    try:
        answer = await connection.run(statement, timeout_s=timeout_s)
    except (AnswerLostError, NoTimeError) as error:
        raise NotPreparedError(str(error)) from error
    if isinstance(answer.outcome, Refused):
        # The session state of the connection is uncertain now.
        connection.is_broken = True
        raise NotPreparedError(answer.outcome.text)
