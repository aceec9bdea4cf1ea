"""Port to callers that speak in sessions and statements."""

import abc
from dataclasses import dataclass

from lavendergate.core.sessions.statements import (
    CallerStatement,
    Refused,
    SessionAnswer,
)


class CallerGoneError(Exception):
    """The caller closed the connection, or it broke."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerRequest:
    """A caller's statement.

    Parameters
    ----------
    statement
        The statement; None if it could not be read.
    """

    request_id: str
    statement: CallerStatement | None


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerFarewell:
    """The caller ends the session."""


class CallerChannel(abc.ABC):
    """One caller's connection.

    All methods raise `CallerGoneError` when the connection is gone.
    """

    @abc.abstractmethod
    async def open(self) -> str | None:
        """Return the database that the caller asks for; None if unreadable."""

    @abc.abstractmethod
    async def accept(self) -> None:
        """Tell the caller that the session is open."""

    @abc.abstractmethod
    async def refuse(self, refusal: Refused) -> None:
        """Tell the caller why the session does not go on."""

    @abc.abstractmethod
    async def receive(self) -> CallerRequest | CallerFarewell:
        """Wait for the next statement."""

    @abc.abstractmethod
    async def answer(self, answer: SessionAnswer) -> None:
        """Answer the last statement."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close the connection."""
