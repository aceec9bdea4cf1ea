"""Reads the state and data of members directly, bypassing the proxies."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import pymysql

from demo.processes import ADMINISTRATOR, MEMBER_PASSWORD, Member

_TIMEOUT_S = 2


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberState:
    """State and read counters that a member reports."""

    member: Member
    promised_term: int
    role: str
    reads_as_primary: int
    reads_as_replica: int


def read_state(member: Member) -> MemberState | None:
    """Return the state of a member, or None if it does not answer."""
    try:
        status = _query(member, 'CALL group_status()')[0]
        counts = dict(_query(member, 'SHOW STATUS'))
    except (pymysql.err.MySQLError, OSError):
        return None
    return MemberState(
        member=member,
        promised_term=int(status[2]),
        role=status[5],
        reads_as_primary=int(counts['reads_as_primary']),
        reads_as_replica=int(counts['reads_as_replica']),
    )


def find_primary(members: Iterable[Member], group: str) -> Member | None:
    """Return the primary of a group; of several, that of the highest term."""
    states = [
        state
        for member in members
        if member.group == group and (state := read_state(member))
    ]
    primaries = [state for state in states if state.role == 'primary']
    if not primaries:
        return None
    return max(primaries, key=lambda state: state.promised_term).member


def read_write_ids(member: Member) -> list[str]:
    """Return the ids of all writes in a member's table ``rounds``."""
    return [row[0] for row in _query(member, 'SELECT write_id FROM rounds')]


def call_fault(member: Member, name: str, value: str) -> None:
    """Set a fault of a member; see `standin.fault_commands`."""
    _query(member, f"CALL standin_fault('{name}', '{value}')")


def _query(member: Member, sql: str) -> Any:
    connection = pymysql.connect(
        host='127.0.0.1',
        port=member.port,
        user=ADMINISTRATOR,
        password=MEMBER_PASSWORD,
        database=member.group,
        connect_timeout=_TIMEOUT_S,
        read_timeout=_TIMEOUT_S,
    )
    with connection, connection.cursor() as cursor:
        cursor.execute(sql)
        return cursor.fetchall()
