"""Brings a shared connection into the state of a caller's session."""

from collections.abc import Mapping

import xxhash

from lavendergate.backends.sessions import AnswerLostError
from lavendergate.controllers.member_link import NoTimeError, PooledSession
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
    """A connection cannot take the session's state; nothing ran."""


def shared_name(shape: Shape) -> str:
    """Return the name of a prepared statement on member connections.

    Equal statements of all callers share a name, so a connection serves the
    next caller without preparing again, and names of callers never collide.
    """
    identity = f'{shape.access.value} {shape.text}'
    digest = xxhash.xxh3_64_hexdigest(identity.encode())
    return f'{_NAME_PREFIX}{digest}'


def renamed(session: CallerSession, statement: DataStatement) -> DataStatement:
    """Return a statement with the names that member connections use."""
    match statement:
        case Execute(name=name, item=item, content=content):
            shape = session.prepared[name]
            return Execute(name=shared_name(shape), item=item, content=content)
        case _:
            return statement


async def prepare_connection(
    pooled: PooledSession,
    session: CallerSession,
    statement: DataStatement | None,
    *,
    timeout_s: float,
) -> None:
    """Set the session's values, and prepare what a statement executes.

    Each step is confirmed before the next, because a statement that runs
    with other values than its session's cannot be taken back.

    Raises
    ------
    NotPreparedError
        If the member did not confirm a step.
    """
    if pooled.values.keys() - session.values.keys():
        await _run(pooled, ResetSession(), timeout_s)
        pooled.values = {}
        pooled.prepared = set()
    for name, value in _missing(pooled, session.values).items():
        await _run(pooled, SetValue(name=name, value=value), timeout_s)
        pooled.values[name] = value
    if isinstance(statement, Execute):
        shape = session.prepared[statement.name]
        await _prepare_shape(pooled, shape, timeout_s)


async def _prepare_shape(
    pooled: PooledSession, shape: Shape, timeout_s: float
) -> None:
    name = shared_name(shape)
    if name not in pooled.prepared:
        await _run(pooled, Prepare(name=name, shape=shape), timeout_s)
        pooled.prepared.add(name)


def _missing(
    pooled: PooledSession, values: Mapping[str, str]
) -> dict[str, str]:
    return {
        name: value
        for name, value in values.items()
        if pooled.values.get(name) != value
    }


async def _run(
    pooled: PooledSession, statement: Statement, timeout_s: float
) -> None:
    try:
        answer = await pooled.run(statement, timeout_s=timeout_s)
    except (AnswerLostError, NoTimeError) as error:
        raise NotPreparedError(str(error)) from error
    if isinstance(answer.outcome, Refused):
        # What is set on the connection is not certain any more.
        pooled.is_broken = True
        raise NotPreparedError(answer.outcome.text)
