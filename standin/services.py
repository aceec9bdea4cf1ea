"""State that the sessions of a member share."""

import asyncio
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

from mysql_mimic.constants import KillKind

from lavendergate.core.types import MemberRole
from standin.errors import MemberError
from standin.faults import Faults
from standin.group import GroupMember
from standin.registry import ConnectionRegistry
from standin.replies import Reply
from standin.tokens import Token, syntax_error

if TYPE_CHECKING:
    from standin.connection import MemberConnection
    from standin.procedures import Procedures


class MemberServices:
    """Shared state of a member's sessions.

    Parameters
    ----------
    group_id
        Group of the member, and name of its schema.
    administrator
        Name of the administrator account.
    slots
        Statements on tables that execute at the same time.
    member, faults, registry
        State of the member.
    """

    def __init__(
        self,
        *,
        group_id: str,
        administrator: str,
        slots: int,
        member: GroupMember,
        faults: Faults,
        registry: ConnectionRegistry,
    ) -> None:
        self.group_id = group_id
        self.administrator = administrator
        self.member = member
        self.faults = faults
        self.registry = registry
        self.procedures: Procedures | None = None
        self._slots = asyncio.Semaphore(slots)
        self._query_counts = {role: 0 for role in MemberRole}

    @property
    def is_primary(self) -> bool:
        """Whether the member accepts writes."""
        return self.member.role is MemberRole.primary

    def count_query(self) -> None:
        """Count a query on tables under the member's current role."""
        self._query_counts[self.member.role] += 1

    def query_count(self, role: MemberRole) -> int:
        """Return the number of queries on tables in a role."""
        return self._query_counts[role]

    @asynccontextmanager
    async def slot(self) -> AsyncIterator[None]:
        """Wait for a free slot, then for the service time.

        The slot is free again once the context is left.
        """
        async with self._slots:
            await asyncio.sleep(self.faults.service_s)
            yield

    async def call(
        self,
        tokens: Sequence[Token],
        *,
        parameters: Sequence[Any],
        is_administrator: bool,
        caller: 'MemberConnection | None',
    ) -> Reply:
        """Call a stored procedure."""
        if self.procedures is None:
            raise MemberError(1305, 'the member is not started')
        return await self.procedures.call(
            tokens,
            parameters=parameters,
            is_administrator=is_administrator,
            caller=caller,
        )

    def kill(self, tokens: Sequence[Token], *, is_administrator: bool) -> None:
        """Execute ``KILL``: end a connection or its current statement."""
        require_administrator(is_administrator)
        words = [token.upper for token in tokens]
        if not tokens[-1].text.isdigit():
            raise syntax_error(tokens[-1].text)
        connection = self.registry.find(int(tokens[-1].text))
        is_query = 'QUERY' in words
        connection.kill(KillKind.QUERY if is_query else KillKind.CONNECTION)


def require_administrator(is_administrator: bool) -> None:
    """Raise error 1227 unless the administrator is logged in."""
    if not is_administrator:
        raise MemberError(
            1227, 'Access denied; you need the administrator account'
        )
