"""Runs callers through the failover of a group: ``python -m demo``."""

import asyncio
import shutil
import sys
import tempfile
import time
from pathlib import Path

import pymysql

from demo.callers import Billing, Planner, Tablet, Workload
from demo.history import History, Outcome, check, failover_gap_s
from demo.members import find_primary, read_state, read_write_ids
from demo.processes import (
    CALLER_PASSWORD,
    SCHEMAS,
    Fleet,
    make_fleet,
)
from demo.summary import Summary, print_failures, print_summary

_START_LIMIT_S = 20.0
_WORK_S = 22.0
_KILL_AFTER_S = 7.0
_RESTART_AFTER_S = 5.0
_TABLETS = 10
_PLANNERS = 3
_BILLINGS = 2
_SEED = 20
_RETRY_S = 0.2
_FINAL_LIMIT_S = 8.0
_TABLES = (
    'CREATE TABLE IF NOT EXISTS rounds (id BIGINT NOT NULL AUTO_INCREMENT '
    'PRIMARY KEY, write_id VARCHAR(64) NOT NULL, panes BIGINT NOT NULL, '
    'KEY by_write (write_id))',
    'CREATE TABLE IF NOT EXISTS sign_offs (id BIGINT NOT NULL AUTO_INCREMENT '
    'PRIMARY KEY, write_id VARCHAR(64) NOT NULL, school VARCHAR(80))',
)


class DemoError(Exception):
    """A step failed, so that the demo cannot continue."""


class Demo:
    """One run of the demo."""

    def __init__(self, *, fleet: Fleet) -> None:
        self._fleet = fleet
        self._history = History()
        self._began_at = time.monotonic()
        self._reads_before_kill = (0, 0)

    def run(self) -> bool:
        """Run the demo and return whether no violation was found."""
        self._print_progress('starting 3 hosts and 9 members')
        self._fleet.start()
        self._wait_for('control hosts', self._initialize)
        for group in SCHEMAS:
            self._wait_for(f'tables in {group}', self._create_tables, group)
        self._print_progress('callers begin')
        gap_s = asyncio.run(self._work())
        rows = {group: self._final_rows(group) for group in SCHEMAS}
        verdict = check(self._history, rows)
        primary_reads, replica_reads = self._count_reads()
        print_failures(self._history)
        print_summary(
            Summary(
                history=self._history,
                verdict=verdict,
                failover_gap_s=gap_s,
                primary_reads=primary_reads,
                replica_reads=replica_reads,
            )
        )
        return verdict.is_clean and self._history.session_reads > 0

    async def _work(self) -> float:
        began_at = time.monotonic()
        workload = Workload(
            proxy_ports=tuple(each.port for each in self._fleet.daemons),
            history=self._history,
            ends_at=began_at + _WORK_S,
        )
        planners = [
            Planner(workload=workload, seed=_SEED + number)
            for number in range(_PLANNERS)
        ]
        for planner in planners:
            planner.start()
        tasks = [asyncio.create_task(self._report(workload))]
        for number in range(_TABLETS):
            tablet = Tablet(user='tablet', workload=workload, seed=number)
            tasks.append(asyncio.create_task(tablet.work(f'crew{number}')))
        for number in range(_BILLINGS):
            billing = Billing(user='billing', workload=workload, seed=number)
            tasks.append(asyncio.create_task(billing.work(f'bill{number}')))
        try:
            killed_at = await self._kill_primary(SCHEMAS[0])
            await asyncio.gather(*tasks)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        return failover_gap_s(
            self._history, SCHEMAS[0], killed_at, workload.ends_at
        )

    async def _kill_primary(self, group: str) -> float:
        await asyncio.sleep(_KILL_AFTER_S)
        primary = await asyncio.to_thread(
            find_primary, self._fleet.members, group
        )
        if primary is None:
            self._check_processes()
            raise DemoError(f'{group} has no primary')
        state = await asyncio.to_thread(read_state, primary)
        if state is not None:
            self._reads_before_kill = (
                state.reads_as_primary,
                state.reads_as_replica,
            )
        self._print_progress(
            f'killing {primary.upstream_id}, the primary of {group}'
        )
        killed_at = time.monotonic()
        self._fleet.kill(primary.upstream_id)
        await asyncio.sleep(_RESTART_AFTER_S)
        self._print_progress(f'restarting {primary.upstream_id}')
        self._fleet.start_member(primary)
        return killed_at

    async def _report(self, workload: Workload) -> None:
        while workload.is_running:
            await asyncio.sleep(2)
            self._print_progress(
                f'{self._history.count(Outcome.acknowledged)} writes '
                f'acknowledged, {self._history.count(Outcome.unknown)} '
                f'unknown, {self._history.count(Outcome.not_run)} not run, '
                f'{self._history.session_reads} session reads, '
                f'{self._history.planner_reads} planner reads'
            )

    def _wait_for(self, name: str, attempt: object, *options: str) -> None:
        ends_at = time.monotonic() + _START_LIMIT_S
        problem = ''
        while time.monotonic() < ends_at:
            self._check_processes()
            problem = attempt(*options) or ''  # type: ignore[operator]
            if not problem:
                self._print_progress(f'{name}: ready')
                return
            time.sleep(_RETRY_S)
        raise DemoError(
            f'{name}: not ready after {_START_LIMIT_S} s: {problem}'
        )

    def _check_processes(self) -> None:
        ended = self._fleet.ended()
        if ended:
            raise DemoError(
                f'{", ".join(ended)} ended; see the .out files in '
                f'{self._fleet.directory}'
            )

    def _initialize(self) -> str | None:
        return self._fleet.initialize_control()

    def _create_tables(self, group: str) -> str | None:
        try:
            for daemon in self._fleet.daemons:
                self._create_tables_through(daemon.port, group)
        except (pymysql.err.MySQLError, OSError) as error:
            return str(error)
        return None

    def _create_tables_through(self, port: int, group: str) -> None:
        connection = pymysql.connect(
            host='127.0.0.1',
            port=port,
            user='planner',
            password=CALLER_PASSWORD,
            database=group,
            autocommit=True,
            connect_timeout=2,
            read_timeout=6,
        )
        with connection, connection.cursor() as cursor:
            for table in _TABLES:
                cursor.execute(table)

    def _final_rows(self, group: str) -> list[str]:
        ends_at = time.monotonic() + _FINAL_LIMIT_S
        while time.monotonic() < ends_at:
            primary = find_primary(self._fleet.members, group)
            if primary is not None:
                return read_write_ids(primary)
            time.sleep(_RETRY_S)
        self._check_processes()
        raise DemoError(f'{group} has no primary at the end')

    def _count_reads(self) -> tuple[int, int]:
        primary_reads, replica_reads = self._reads_before_kill
        for member in self._fleet.members:
            state = read_state(member)
            if state is not None:
                primary_reads += state.reads_as_primary
                replica_reads += state.reads_as_replica
        # Excludes the read of each final primary by `_final_rows`.
        return max(primary_reads - len(SCHEMAS), 0), replica_reads

    def _print_progress(self, text: str) -> None:
        print(f'{time.monotonic() - self._began_at:5.1f} s  {text}', flush=True)


def main() -> int:
    """Run the demo and return its exit status."""
    directory = Path(tempfile.mkdtemp(prefix='lavendergate-demo-'))
    print(f'data and output of the processes: {directory}')
    fleet = make_fleet(directory)
    try:
        is_clean = Demo(fleet=fleet).run()
    except DemoError as error:
        print(f'demo failed: {error}')
        return 1
    finally:
        fleet.stop()
    if is_clean:
        shutil.rmtree(directory, ignore_errors=True)
    return 0 if is_clean else 1


if __name__ == '__main__':
    sys.exit(main())
