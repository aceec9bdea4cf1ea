"""Sets a session value inside a transaction, right before its COMMIT."""

import asyncio
import contextlib
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stage.clients import (  # noqa: E402
    ClosedError,
    Session,
    configuration,
    publish,
    route,
)
from stage.fleet import CannotRunError, Host, make_fleet  # noqa: E402
from stage.members import Group  # noqa: E402
from stage.record import Record  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
CLIENTS = 4
TRANSACTIONS = 20
LIMIT_S = 60


class Case:
    """Two proxies with clients that change a session value."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.fleet, spare = make_fleet(record, proxy_zones=('z1', 'z2'))
        self.group = Group(record, self.fleet, spare[0], max_conns=16)
        # Value of the session when its COMMIT was sent, by the client's item.
        self.expected: dict[str, str] = {}
        self.committed = 0

    async def run(self) -> None:
        """Play the case."""
        self.fleet.platform = await self.group.serve_platform(
            self.group.members[0].address[0]
        )
        await self.group.start()
        self.fleet.start_all()
        routes = [route('orders', 'primary', 1000)]
        await publish(self.fleet, configuration(7, routes, max_conns=16))
        await self.fleet.wait_until_ready()
        await asyncio.sleep(3)
        async with asyncio.TaskGroup() as tasks:
            for proxy in self.fleet.proxies:
                for number in range(CLIENTS):
                    tasks.create_task(self.work(proxy, number))

    async def work(self, proxy: Host, number: int) -> None:
        """Run transactions that change the value `step` of the session."""
        name = f'client {proxy.name}/{number}'
        session = Session(self.record, name)
        if not await session.open(self.fleet.front(proxy), 'orders'):
            raise CannotRunError(f'{name} was refused')
        with contextlib.suppress(ClosedError):
            for count in range(TRANSACTIONS):
                item = f'o-{proxy.name}-{number}-{count}'
                await self.transact(session, item)
                if session.state != 'I':
                    return
        session.close()

    async def transact(self, session: Session, item: str) -> None:
        """Run a transaction that sets a value before or after its write."""
        await session.ask('BEGIN')
        if not TROUBLE:
            await session.ask(f'SET step {item}')
        _, outcome = await session.ask(f'WRITE {item} new')
        if not outcome.startswith('DONE'):
            await session.ask('ROLLBACK')
            return
        if TROUBLE:
            _, outcome = await session.ask(f'SET step {item}')
            if not outcome.startswith('DONE'):
                await session.ask('ROLLBACK')
                return
        request, outcome = await session.ask('COMMIT')
        if outcome.startswith('DONE'):
            self.committed += 1
            self.expected[request] = item

    def wrong(self) -> list[str]:
        """COMMITs that ran with another value than the acknowledged one."""
        return [
            f'{request} ran with step={self.group.values.get(request)}, '
            f'acknowledged was step={item}'
            for request, item in self.expected.items()
            if self.group.values.get(request) != item
        ]


async def main() -> int:
    """Return the exit status of the case."""
    record = Record(FOLDER / 'record.txt')
    case = None
    try:
        case = Case(record)
        async with asyncio.timeout(LIMIT_S):
            await case.run()
    except (CannotRunError, TimeoutError, ExceptionGroup) as error:
        print(f'cannot run: {error!r}')
        return 2
    finally:
        if case is not None:
            await case.group.stop()
            case.fleet.stop()
        record.close()
    if not case.committed:
        print('cannot run: no transaction was committed')
        return 2
    wrong = case.wrong()
    print(
        f'{case.committed} transactions committed; COMMIT with other session '
        f'values than acknowledged: {len(wrong)}; the first: {wrong[:2]}'
    )
    return 1 if wrong else 0


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
