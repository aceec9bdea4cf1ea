"""Starts fleets for measurements, reads their state and injects faults."""

import asyncio
import shutil
import tempfile
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from functools import partial
from pathlib import Path
from typing import Any

import pymysql

from demo.processes import (
    ADMINISTRATOR,
    CALLER_PASSWORD,
    MEMBER_PASSWORD,
    Daemon,
    Fleet,
    Member,
    make_fleet,
)
from lavendergate.cli.control_client import ControlClient
from lavendergate.cli.errors import CommandError
from lavendergate.cli.options import ControlOptions, Format
from lavendergate.core.reports import GroupReport
from lavendergate.core.types import MemberRole
from lavendergate.rpc.messages import StatusReply

START_LIMIT_S = 40.0
# Connections that each member of the fleet accepts.
CONNECTION_LIMIT = 16
TABLE = (
    'CREATE TABLE IF NOT EXISTS rounds (id BIGINT NOT NULL AUTO_INCREMENT '
    'PRIMARY KEY, write_id VARCHAR(64) NOT NULL)'
)
_POLL_S = 0.1
_MEMBER_TIMEOUT_S = 3
_FULL_MEMBER_LIMIT_S = 5.0
_TOO_MANY_CONNECTIONS = 1040
_MEMBERS_PER_GROUP = 3


class MeasurementError(Exception):
    """A step failed, so that the measurement cannot continue."""


@asynccontextmanager
async def running_fleet(groups: frozenset[str]) -> AsyncIterator[Fleet]:
    """Run three hosts and the members of some groups.

    The files are kept if the measurement ends with an error.
    """
    # The system's directory for temporary files may be in memory.
    parent = Path('build')
    parent.mkdir(exist_ok=True)
    directory = Path(tempfile.mkdtemp(prefix='fleet-', dir=parent))
    fleet = make_fleet(directory.absolute())
    fleet.members = tuple(
        member for member in fleet.members if member.group in groups
    )
    try:
        fleet.start()
        await until(lambda: _initialized(fleet), 'control hosts')
        for group in sorted(groups):
            await until(partial(_create_table, fleet, group), group)
        yield fleet
    finally:
        await asyncio.to_thread(fleet.stop)
    shutil.rmtree(directory)


async def until(
    attempt: Callable[[], Any], name: str, limit_s: float = START_LIMIT_S
) -> Any:
    """Repeat an attempt in a thread until it returns a true value.

    Raises
    ------
    MeasurementError
        If that takes longer than the limit.
    """
    ends_at = time.monotonic() + limit_s
    while time.monotonic() < ends_at:
        found = await asyncio.to_thread(attempt)
        if found:
            return found
        await asyncio.sleep(_POLL_S)
    raise MeasurementError(f'{name}: not ready after {limit_s:g} s')


def control_options(fleet: Fleet) -> ControlOptions:
    """Return the options with which lavendergatectl reaches the fleet."""
    return ControlOptions(control=fleet.control_hosts, format=Format.json)


async def read_status(fleet: Fleet) -> StatusReply | None:
    """Return the control leader's status, or None if no leader answers."""
    try:
        status = await ControlClient(control_options(fleet)).status()
    except CommandError:
        return None
    return status if status.leader else None


async def healthy_status(fleet: Fleet, limit_s: float) -> StatusReply:
    """Wait until all processes run and each group has its primary and replicas.

    Raises
    ------
    MeasurementError
        If that takes longer than the limit.
    """
    ends_at = time.monotonic() + limit_s
    status = None
    while time.monotonic() < ends_at:
        status = await read_status(fleet)
        if status is not None and _is_healthy(fleet, status):
            return status
        await asyncio.sleep(_POLL_S)
    problems = status.problems if status else ('no control leader',)
    raise MeasurementError(
        f'the fleet did not recover within {limit_s:g} s: {problems}; ended '
        f'processes: {fleet.ended()}'
    )


def group_of(status: StatusReply, group: str) -> GroupReport:
    """Return the report of a group."""
    return next(one for one in status.groups if one.group_id == group)


def primary_of(fleet: Fleet, status: StatusReply, group: str) -> Member:
    """Return the confirmed primary of a group."""
    primary = group_of(status, group).primary
    return next(one for one in fleet.members if one.upstream_id == primary)


def leader_of(fleet: Fleet, status: StatusReply) -> Daemon:
    """Return the host of the control leader."""
    return next(
        one
        for one in fleet.daemons
        if status.leader == f'127.0.0.1:{one.rpc_port}'
    )


def administer(member: Member, sql: str) -> Any:
    """Execute a statement on a member as its administrator; return the rows.

    A member keeps one connection above its limit for administrators, and a
    control host may have it at the moment.
    """
    ends_at = time.monotonic() + _FULL_MEMBER_LIMIT_S
    while True:
        try:
            return _query(
                member.port, member.group, sql, ADMINISTRATOR, MEMBER_PASSWORD
            )
        except pymysql.err.OperationalError as error:
            is_full = error.args[0] == _TOO_MANY_CONNECTIONS
            if not is_full or time.monotonic() > ends_at:
                raise
        time.sleep(_POLL_S)


def set_fault(member: Member, name: str, value: object) -> None:
    """Inject a fault into a stand-in member."""
    administer(member, f"CALL standin_fault('{name}', '{value}')")


def written_ids(member: Member, prefix: str) -> list[str]:
    """Return the ids of a member's writes that begin with a prefix."""
    sql = f"SELECT write_id FROM rounds WHERE write_id LIKE '{prefix}-%'"
    return [row[0] for row in administer(member, sql)]


def run_as_caller(port: int, group: str, sql: str) -> Any:
    """Execute a statement through a proxy as a caller; return the rows."""
    return _query(port, group, sql, 'planner', CALLER_PASSWORD)


def _query(port: int, group: str, sql: str, user: str, password: str) -> Any:
    connection = pymysql.connect(
        host='127.0.0.1',
        port=port,
        user=user,
        password=password,
        database=group,
        autocommit=True,
        connect_timeout=_MEMBER_TIMEOUT_S,
        read_timeout=_MEMBER_TIMEOUT_S,
    )
    with connection, connection.cursor() as cursor:
        cursor.execute(sql)
        return cursor.fetchall()


def _is_healthy(fleet: Fleet, status: StatusReply) -> bool:
    live = [one for one in status.proxies if one.age_ms < 1000]
    if fleet.ended() or len(live) < len(fleet.daemons):
        return False
    groups = {member.group for member in fleet.members}
    reports = [one for one in status.groups if one.group_id in groups]
    return len(reports) == len(groups) and all(map(_is_complete, reports))


def _is_complete(report: GroupReport) -> bool:
    statuses = [one.announcement.status for one in report.members]
    roles = sorted(status.role.value for status in statuses)
    replicas = [MemberRole.replica.value] * (_MEMBERS_PER_GROUP - 1)
    return (
        report.primary is not None
        and roles == [MemberRole.primary.value, *replicas]
        and all(status.promised_term == report.term for status in statuses)
        and all(one.age_ms < 1000 for one in report.members)
        and all(status.applied_age_ms < 1000 for status in statuses)
    )


def _initialized(fleet: Fleet) -> bool:
    problem = fleet.initialize_control()
    return problem is None or 'initialised' in problem


def _create_table(fleet: Fleet, group: str) -> bool:
    try:
        for daemon in fleet.daemons:
            run_as_caller(daemon.port, group, TABLE)
    except (pymysql.err.MySQLError, OSError):
        return False
    return True
