"""Values and prepared statements of a session, applied to its connections.

Callers share the connections to members. Before a statement of a session runs
on one of them, the connection has the session's values, and the statement is
prepared there if it needs that.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

import xxhash

from lavendergate.core.sessions.statements import (
    Execute,
    Prepare,
    ResetSession,
    SetValue,
    Shape,
    Statement,
)

_NAME_PREFIX = 'p'


def shared_statement_name(shape: Shape) -> str:
    """Return the name of a prepared statement on member connections.

    The name is derived from the statement. Callers that prepare the same
    statement share it on a connection, and names chosen by different callers
    never collide.
    """
    identity = f'{shape.access.value} {shape.text}'
    digest = xxhash.xxh3_64_hexdigest(identity.encode())
    return f'{_NAME_PREFIX}{digest}'


@dataclass(frozen=True, kw_only=True, slots=True)
class SessionState:
    """What a caller's session has set and prepared.

    Parameters
    ----------
    values
        Session values that were acknowledged.
    prepared
        Prepared statements by the names that the caller chose.
    """

    values: Mapping[str, str] = field(default_factory=dict)
    prepared: Mapping[str, Shape] = field(default_factory=dict)

    def with_shared_name(self, statement: Statement) -> Statement:
        """Replace the caller's name of a prepared statement."""
        match statement:
            case Execute(name=name, item=item, content=content):
                shared = shared_statement_name(self.prepared[name])
                return Execute(name=shared, item=item, content=content)
            case _:
                return statement


StateStep = ResetSession | SetValue | Prepare


@dataclass(kw_only=True, slots=True)
class ConnectionState:
    """What is set and prepared on a connection to a member.

    Parameters
    ----------
    prepared
        Shared names of prepared statements.
    """

    values: dict[str, str] = field(default_factory=dict)
    prepared: set[str] = field(default_factory=set)

    def next_step(
        self, state: SessionState, statement: Statement
    ) -> StateStep | None:
        """Return what has to run before a statement of a session.

        Each step is confirmed before the next one is sent, because a statement
        that ran with the values of another session cannot be undone.
        """
        if self.values.keys() - state.values.keys():
            return ResetSession()
        for name, value in state.values.items():
            if self.values.get(name) != value:
                return SetValue(name=name, value=value)
        if isinstance(statement, Execute):
            shape = state.prepared[statement.name]
            shared = shared_statement_name(shape)
            if shared not in self.prepared:
                return Prepare(name=shared, shape=shape)
        return None

    def record(self, step: StateStep) -> None:
        """Record a step that the member confirmed."""
        match step:
            case ResetSession():
                self.values.clear()
                self.prepared.clear()
            case SetValue(name=name, value=value):
                self.values[name] = value
            case Prepare(name=name):
                self.prepared.add(name)
