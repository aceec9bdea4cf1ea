"""Freezes proxies while transactions run through the home proxies."""

import asyncio
import contextlib
import os
import signal
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
# Enough to show the fault; the case ends then.
ENOUGH = 3
ORDER_CLIENTS = 5
FREEZE_S = 1.2
CYCLES = 46
CYCLE_S = 1.9
LIMIT_S = 115
# No freeze begins later, also where the start took long.
LAST_FREEZE_S = 100
# The proxies of the primary's zone are its homes. The others pass their
# statements on to them.
ZONES = ('z1',) * 3 + ('z2',) * 5 + ('z3',) * 4
MAX_CONNECTIONS = 24
SOURCES = 4


class Case:
    """Four proxies with clients; one of them at a time is frozen."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.fleet, spare = make_fleet(record, proxy_zones=ZONES)
        self.group = Group(
            record, self.fleet, spare[0], max_conns=MAX_CONNECTIONS
        )
        self.is_over = False
        # Items whose transactions were acknowledged.
        self.acknowledged: list[str] = []

    async def run(self) -> None:
        """Play the case."""
        self.fleet.platform = await self.group.serve_platform(
            self.group.members[0].address[0]
        )
        await self.group.start()
        self.fleet.start_all()
        routes = [
            route('orders', 'primary', 1000),
            route('reports', 'primary', 5000),
        ]
        await publish(
            self.fleet, configuration(7, routes, max_conns=MAX_CONNECTIONS)
        )
        await self.fleet.wait_until_ready()
        await asyncio.sleep(3)
        self.group.slow_items['report'] = 0.04
        sources = self.fleet.proxies[-SOURCES:]
        tasks = []
        for proxy in sources:
            tasks.append(asyncio.create_task(self.read_reports(proxy)))
            for number in range(ORDER_CLIENTS):
                tasks.append(asyncio.create_task(self.order(proxy, number)))
        for cycle in range(CYCLES):
            await asyncio.sleep(CYCLE_S - FREEZE_S)
            proxy = sources[cycle % len(sources)]
            if TROUBLE:
                self.fleet.signal(proxy, signal.SIGSTOP)
            await asyncio.sleep(FREEZE_S)
            if TROUBLE:
                self.fleet.signal(proxy, signal.SIGCONT)
            is_late = self.record.now > LAST_FREEZE_S
            if is_late or len(self.group.stray) >= ENOUGH:
                break
        await asyncio.sleep(2)
        self.is_over = True
        await asyncio.gather(*tasks, return_exceptions=True)

    async def order(self, proxy: Host, number: int) -> None:
        """Run one transaction after the other."""
        count = 0
        name = f'order client {proxy.name}/{number}'
        while not self.is_over:
            session = Session(self.record, name)
            if not await session.open(self.fleet.front(proxy), 'orders'):
                await asyncio.sleep(0.2)
                continue
            with contextlib.suppress(ClosedError):
                while not self.is_over and session.state == 'I':
                    count += 1
                    item = f'o-{proxy.name}-{number}-{count}'
                    await self.transact(session, item, has_set=number % 2 == 1)
            session.close()

    async def transact(
        self, session: Session, item: str, *, has_set: bool
    ) -> None:
        """Run one transaction with one write."""
        await session.ask('BEGIN')
        _, outcome = await session.ask(f'WRITE {item} new')
        if not outcome.startswith('DONE'):
            await session.ask('ROLLBACK')
            return
        await asyncio.sleep(0.02)
        if has_set:
            await session.ask(f'SET step {item}')
        _, outcome = await session.ask('COMMIT')
        if outcome.startswith('DONE'):
            self.acknowledged.append(item)

    async def read_reports(self, proxy: Host) -> None:
        """Read one report after the other."""
        name = f'report client {proxy.name}'
        while not self.is_over:
            session = Session(self.record, name)
            if not await session.open(self.fleet.front(proxy), 'reports'):
                await asyncio.sleep(0.2)
                continue
            with contextlib.suppress(ClosedError):
                while not self.is_over:
                    await session.ask('READ report')
                    await asyncio.sleep(0.01)
            session.close()

    @property
    def lost(self) -> list[str]:
        """Items of acknowledged transactions that the primary lacks."""
        kept = {
            item
            for _, writes in self.group.primary.log
            for _, item, _ in writes
        }
        return [item for item in self.acknowledged if item not in kept]


async def main() -> int:
    """Return the exit status of the case."""
    record = Record(FOLDER / 'record.txt')
    case = None
    try:
        case = Case(record)
        async with asyncio.timeout(LIMIT_S):
            await case.run()
    except (CannotRunError, TimeoutError) as error:
        print(f'cannot run: {error!r}')
        return 2
    finally:
        if case is not None:
            await case.group.stop()
            case.fleet.stop()
        record.close()
    if not case.acknowledged:
        print('cannot run: no transaction was acknowledged')
        return 2
    print(
        f'{len(case.acknowledged)} transactions acknowledged; COMMIT outside '
        f'its transaction: {case.group.stray}; acknowledged, but not kept: '
        f'{case.lost}'
    )
    return 1 if case.group.stray else 0


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
