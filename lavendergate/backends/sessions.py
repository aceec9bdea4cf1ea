"""Interface to members with a protocol of sessions and statements.

Each protocol implements it in its own package. The statement path for callers
of the platform's protocol and the member pollers depend only on this module.
"""

import abc

import anyio

from lavendergate.core.fleet_directory import MemberEntry
from lavendergate.core.sessions.context import (
    SYSTEM_CONTEXT,
    StatementContext,
)
from lavendergate.core.sessions.statements import (
    DemotePrimary,
    MemberReport,
    PauseReplication,
    Refused,
    ReportStatus,
    ResumeReplication,
    SessionAnswer,
    Statement,
)
from lavendergate.core.types import LogPosition

ReportRequest = (
    ReportStatus | PauseReplication | ResumeReplication | DemotePrimary
)


class MemberUnreachableError(Exception):
    """No connection to a member was opened, so nothing ran there."""


class MemberAbsentError(MemberUnreachableError):
    """No process listens at the member's address."""


class MemberRefusedError(Exception):
    """A member refused a connection.

    Parameters
    ----------
    refusal
        The member's answer.
    """

    def __init__(self, *, refusal: Refused) -> None:
        super().__init__(f'{refusal.code.value}: {refusal.text}')
        self.refusal = refusal


class AnswerLostError(Exception):
    """A statement was sent, but its complete answer did not arrive.

    The statement may have run. The connection must not be used again.
    """


class HomeLostError(AnswerLostError):
    """The home proxy did not answer; this says nothing about the member."""


class MemberSession(abc.ABC):
    """One connection to a member; runs one statement at a time."""

    @property
    def is_relayed(self) -> bool:
        """Whether another proxy runs the statements on its connections."""
        return False

    @property
    def home(self) -> str | None:
        """Address of the home proxy that ran the last statement, if any."""

    @property
    def was_answered_by_member(self) -> bool:
        """Whether the last answer came from the member itself."""
        return True

    @property
    def member_running_s(self) -> float | None:
        """Time for which the member had run at its last answer, in seconds.

        None if its home has not said so, or if this session is a connection
        to the member, which ends with the member's process.
        """

    def use_for(self, context: StatementContext) -> None:
        """Run the next statements for a caller.

        Only sessions that are relayed carry the context; a connection to a
        member belongs to the customer for which it was opened.
        """

    @abc.abstractmethod
    async def run(
        self,
        statement: Statement,
        *,
        request_id: str | None = None,
        after: LogPosition | None = None,
    ) -> SessionAnswer:
        """Run a statement.

        Parameters
        ----------
        request_id
            Id of the caller's request; None for statements of the system.
        after
            Log position that the member must have applied.

        Raises
        ------
        AnswerLostError
            If the complete answer did not arrive.
        MemberUnreachableError
            If the statement was not sent, since the member or its home proxy
            cannot be reached.
        """

    @abc.abstractmethod
    async def request_report(
        self, request: ReportRequest
    ) -> MemberReport | Refused:
        """Request a report, or run a command that is answered with one.

        Raises
        ------
        AnswerLostError
            If the answer did not arrive complete.
        """

    async def wait_until_lost(self) -> None:
        """Wait until the member closes the connection.

        No statement may run meanwhile; the wait may be cancelled. Sessions
        that cannot notice it wait until they are cancelled.
        """
        await anyio.sleep_forever()

    @abc.abstractmethod
    async def close(self) -> None:
        """Close the connection; an open transaction is rolled back."""


class MemberDialer(abc.ABC):
    """Opens connections to members."""

    def is_relayed(self, member: MemberEntry) -> bool:
        """Return whether sessions would run through another proxy now."""
        return False

    async def dial_directly(
        self,
        member: MemberEntry,
        context: StatementContext = SYSTEM_CONTEXT,
    ) -> tuple[MemberSession, LogPosition | None]:
        """Open a connection of this host, whatever `is_relayed` says."""
        return await self.dial(member, context)

    @abc.abstractmethod
    async def dial(
        self,
        member: MemberEntry,
        context: StatementContext = SYSTEM_CONTEXT,
    ) -> tuple[MemberSession, LogPosition | None]:
        """Open a connection to a member.

        Parameters
        ----------
        context
            Caller for whose statements the connection is opened.

        Returns
        -------
        The connection, and the log position that the member has applied.

        Raises
        ------
        MemberRefusedError
            If the member refused the connection.
        MemberUnreachableError
            If no connection could be opened.
        """
