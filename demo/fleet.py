"""Runs a local fleet for interactive use: ``python -m demo.fleet``."""

import signal
import sys
import tempfile
import time
from pathlib import Path

import pymysql

from demo.processes import CALLER_PASSWORD, SCHEMAS, Fleet, make_fleet

# Ports of the caller listeners, the gRPC listeners and the members. The
# documentation names them.
_PORTS = (*range(6033, 6036), *range(7033, 7036), *range(4001, 4010))
_START_LIMIT_S = 20.0
_RETRY_S = 0.2


def start_fleet(fleet: Fleet) -> str | None:
    """Start all processes and wait until every proxy serves every group.

    Returns
    -------
    str or None
        What failed, None for success.
    """
    fleet.start()
    ends_at = time.monotonic() + _START_LIMIT_S
    problem: str | None = 'not started'
    is_initialised = False
    while problem and time.monotonic() < ends_at:
        ended = fleet.ended()
        if ended:
            return f'{", ".join(ended)} ended; see {fleet.directory}'
        if not is_initialised:
            problem = fleet.initialize_control()
            is_initialised = problem is None
        if is_initialised:
            problem = _probe(fleet)
        time.sleep(_RETRY_S)
    return problem


def _probe(fleet: Fleet) -> str | None:
    try:
        for daemon in fleet.daemons:
            for group in SCHEMAS:
                _list_tables(daemon.port, group)
    except (pymysql.err.MySQLError, OSError) as error:
        return str(error)
    return None


def _list_tables(port: int, group: str) -> None:
    with (
        pymysql.connect(
            host='127.0.0.1',
            port=port,
            user='planner',
            password=CALLER_PASSWORD,
            database=group,
        ) as connection,
        connection.cursor() as cursor,
    ):
        cursor.execute('SHOW TABLES')


def main() -> int:
    """Run the fleet until it is interrupted."""
    # A shell starts background processes with SIGINT ignored.
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, signal.default_int_handler)
    with tempfile.TemporaryDirectory(prefix='lavendergate-') as directory:
        fleet = make_fleet(Path(directory), _PORTS)
        try:
            problem = start_fleet(fleet)
            if problem:
                print(f'the fleet does not run: {problem}')
                return 1
            print(f'groups {", ".join(SCHEMAS)} are ready')
            print('callers: 127.0.0.1:6033, :6034, :6035')
            print(f'export LAVENDERGATE_CONTROL={fleet.control_hosts}')
            print('stop with Ctrl-C', flush=True)
            while not fleet.ended():
                time.sleep(1)
            print(f'{", ".join(fleet.ended())} ended')
            return 1
        except KeyboardInterrupt:
            return 0
        finally:
            fleet.stop()


if __name__ == '__main__':
    sys.exit(main())
