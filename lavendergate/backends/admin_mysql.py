"""Administrative access to members over the MySQL protocol."""

import asyncio
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

import aiomysql
from result import Err, Ok, Result

from lavendergate.backends.admin import (
    PROGRAM_NAME_PREFIX,
    AdminFailure,
    HostConnections,
    MemberAddress,
    MemberAdmin,
    StatusResult,
)
from lavendergate.core.types import (
    HostId,
    LogPosition,
    MemberRole,
    MemberStatus,
    Term,
)

CALL_TIMEOUT_S = 0.5

_REFUSED_ERROR_CODE = 1644
_MS_PER_S = 1000
_LIST_CONNECTIONS = (
    'SELECT processlist_id, attr_value '
    'FROM performance_schema.session_connect_attrs '
    "WHERE attr_name = 'program_name'"
)

_Row = Mapping[str, Any]
_Rows = list[_Row]
_ValueT = TypeVar('_ValueT')

# An answer with a missing row or column or an unknown role is unreliable and
# treated like a lost answer.
_FAILURES = (aiomysql.MySQLError, OSError, LookupError, ValueError)


class MySqlMemberAdmin(MemberAdmin):
    """Administers MySQL members, with a new connection for each call.

    Parameters
    ----------
    user, password
        Account of the administrator. The member reserves a connection for it
        outside its connection limit.
    timeout_s
        Time limit of each call, in seconds.
    """

    def __init__(
        self,
        *,
        user: str,
        password: str,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        self._user = user
        self._password = password
        self._timeout_s = timeout_s

    async def status(self, address: MemberAddress) -> StatusResult:
        """Return the member's status."""
        return await self._query_status(address, 'CALL group_status()')

    async def fence(self, address: MemberAddress, term: Term) -> StatusResult:
        """Raise the promised term."""
        return await self._query_status(address, f'CALL group_fence({term})')

    async def promote(self, address: MemberAddress, term: Term) -> StatusResult:
        """Make the member primary in the term that it promised."""
        return await self._query_status(address, f'CALL group_promote({term})')

    async def follow(
        self, address: MemberAddress, term: Term, primary: MemberAddress
    ) -> Result[int, AdminFailure]:
        """Make the member a replica; return the number of truncated entries."""
        return await self._query(
            address,
            f"CALL group_follow({term}, '{primary.host}', {primary.port})",
            _read_truncated,
        )

    async def wait(
        self, address: MemberAddress, entry: LogPosition, timeout_s: float
    ) -> Result[bool, AdminFailure]:
        """Wait until the member holds an entry; return whether it does."""
        timeout_ms = int(timeout_s * _MS_PER_S)
        return await self._query(
            address,
            f'CALL group_wait({entry.term}, {entry.position}, {timeout_ms})',
            _read_held,
            extra_s=timeout_s,
        )

    async def connections_by_host(
        self, address: MemberAddress
    ) -> Result[HostConnections, AdminFailure]:
        """Return the ids of the open connections of each proxy."""
        return await self._query(address, _LIST_CONNECTIONS, _group_by_host)

    async def kill_connections(
        self,
        address: MemberAddress,
        host_id: HostId,
        only: frozenset[int] | None = None,
    ) -> Result[int, AdminFailure]:
        """Close a proxy's connections; return how many were found.

        Parameters
        ----------
        only
            Ids of the connections to close; None for all of the proxy's.
            Ids that now belong to other clients are ignored.
        """
        listed = await self.connections_by_host(address)
        if listed.is_err():
            return Err(listed.unwrap_err())
        connection_ids = [
            connection_id
            for connection_id in listed.unwrap().get(host_id, ())
            if only is None or connection_id in only
        ]
        for connection_id in connection_ids:
            killed = await self._query(address, f'KILL {connection_id}', len)
            if killed.is_err():
                return Err(killed.unwrap_err())
        return Ok(len(connection_ids))

    async def _query_status(
        self, address: MemberAddress, statement: str
    ) -> StatusResult:
        return await self._query(address, statement, _read_status)

    async def _query(
        self,
        address: MemberAddress,
        statement: str,
        read: Callable[[_Rows], _ValueT],
        extra_s: float = 0,
    ) -> Result[_ValueT, AdminFailure]:
        try:
            async with asyncio.timeout(self._timeout_s + extra_s):
                return Ok(read(await self._run(address, statement)))
        except _FAILURES as error:
            return Err(_to_failure(address, statement, error))

    async def _run(self, address: MemberAddress, statement: str) -> _Rows:
        connection: Any = await aiomysql.connect(
            host=address.host,
            port=address.port,
            user=self._user,
            password=self._password,
            program_name='lavendergate-admin',
            cursorclass=aiomysql.DictCursor,
            autocommit=True,
        )
        try:
            async with connection.cursor() as cursor:
                await cursor.execute(statement)
                rows: _Rows = list(await cursor.fetchall() or ())
        finally:
            connection.close()
        return rows


def _read_truncated(rows: _Rows) -> int:
    return int(rows[0]['truncated_entries'])


def _read_held(rows: _Rows) -> bool:
    return bool(int(rows[0]['held']))


def _read_status(rows: _Rows) -> MemberStatus:
    row = rows[0]
    return MemberStatus(
        promised_term=Term(int(row['promised_term'])),
        last_entry=LogPosition(
            term=Term(int(row['log_term'])), position=int(row['log_position'])
        ),
        role=MemberRole(row['role']),
        primary_contact_ms=int(row['primary_contact_ms']),
        applied_age_ms=int(row['applied_age_ms']),
        connections=int(row['connections']),
    )


def _group_by_host(rows: _Rows) -> HostConnections:
    connections: HostConnections = {}
    for row in rows:
        name = str(row['attr_value'])
        if name.startswith(PROGRAM_NAME_PREFIX):
            host_id = HostId(name.removeprefix(PROGRAM_NAME_PREFIX))
            connection_id = int(row['processlist_id'])
            connections[host_id] = (
                *connections.get(host_id, ()),
                connection_id,
            )
    return connections


def _to_failure(
    address: MemberAddress, statement: str, error: Exception
) -> AdminFailure:
    code = error.args[0] if error.args else None
    is_timeout = isinstance(error, TimeoutError)
    reason = 'no answer in time' if is_timeout else str(error)
    return AdminFailure(
        message=f'{statement} on {address.host}:{address.port}: {reason}',
        refused=code == _REFUSED_ERROR_CODE,
    )
