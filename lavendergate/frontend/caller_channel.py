"""Interface to callers that use the session protocol."""

import abc
from dataclasses import dataclass, field

from lavendergate.core.customers.table import KeyDigest
from lavendergate.core.sessions.statements import (
    CallerStatement,
    Refused,
    SessionAnswer,
)


class CallerDisconnectedError(Exception):
    """The connection was closed by the caller, or it broke."""


@dataclass(frozen=True, kw_only=True, slots=True)
class SessionStart:
    """A request of a caller to open a session.

    Parameters
    ----------
    key_digest
        Digest of the caller's key; None if it sent none. The key itself does
        not leave the adapter of the protocol.
    """

    database: str
    key_digest: KeyDigest | None = field(default=None, repr=False)


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerRequest:
    """A caller's statement.

    Parameters
    ----------
    statement
        The statement; None if it could not be parsed, or was refused.
    refusal
        Why it was not read; None if it was.
    """

    request_id: str
    statement: CallerStatement | None
    refusal: Refused | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class SessionEndRequest:
    """A request of the caller to end the session."""


class CallerChannel(abc.ABC):
    """One caller's connection.

    All methods raise `CallerDisconnectedError` if the connection is lost.
    """

    @abc.abstractmethod
    async def receive_start(self) -> SessionStart | None:
        """Return the request for a session; None if it cannot be parsed."""

    @abc.abstractmethod
    async def accept(self) -> None:
        """Confirm to the caller that the session is open."""

    @abc.abstractmethod
    async def refuse(self, refusal: Refused) -> None:
        """Answer the caller that the session ends, and why."""

    @abc.abstractmethod
    async def receive(self) -> CallerRequest | SessionEndRequest:
        """Wait for the next statement."""

    @abc.abstractmethod
    async def answer(self, answer: SessionAnswer) -> None:
        """Answer the last statement."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close the connection."""
