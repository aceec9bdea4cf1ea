"""A replica returns after the order to promote another one was sent."""

import asyncio
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
CLIENTS = 4
PROMOTE_S = 1.0
# From the partition until the proxy freezes.
FREEZE_AFTER_S = 0.5
RETURN_AFTER_S = 0.1
WATCH_S = 20
LIMIT_S = 90


class Case:
    """Five proxies; the primary is cut off from three of them."""

    def __init__(self, record: Record) -> None:
        self.record = record
        zones = ('z1', 'z1', 'z2', 'z2', 'z3')
        self.fleet, spare = make_fleet(record, proxy_zones=zones)
        self.group = Group(record, self.fleet, spare[0], max_conns=30)
        self.group.promote_s = PROMOTE_S
        self.is_over = False
        # Items of acknowledged writes.
        self.acknowledged: list[str] = []
        self.lost: list[str] = []

    async def run(self) -> None:
        """Play the case."""
        self.fleet.platform = await self.group.serve_platform(
            self.group.members[0].address[0]
        )
        await self.group.start()
        self.fleet.start_all()
        routes = [route('orders', 'primary', 1000)]
        await publish(self.fleet, configuration(7, routes, max_conns=30))
        await self.fleet.wait_until_ready()
        await asyncio.sleep(3)
        tasks = [
            asyncio.create_task(self.write(proxy, number))
            for proxy in self.fleet.proxies
            for number in range(CLIENTS)
        ]
        await asyncio.sleep(3)
        if TROUBLE:
            await self.disturb()
        else:
            await asyncio.sleep(8)
        await asyncio.sleep(1)
        self.is_over = True
        await asyncio.gather(*tasks, return_exceptions=True)

    async def disturb(self) -> None:
        """Cut the primary off while one replica is down."""
        primary, candidate, absent = self.group.members
        near = self.fleet.proxies[0]
        self.group.crash(absent)
        await asyncio.sleep(2.5)
        self.record.write(primary.name, 'is cut off')
        far = [*self.fleet.control, *self.fleet.proxies[2:]]
        primary.cut |= {host.name for host in far}
        primary.cut.add(candidate.name)
        await asyncio.sleep(FREEZE_AFTER_S)
        self.fleet.signal(near, signal.SIGSTOP)
        try:
            async with asyncio.timeout(WATCH_S):
                await self.group.ordered.wait()
        except TimeoutError as error:
            raise CannotRunError('no member was promoted') from error
        await asyncio.sleep(RETURN_AFTER_S)
        await self.group.restart(absent)
        self.fleet.signal(near, signal.SIGCONT)
        while self.group.promoted is None:
            await asyncio.sleep(0.005)
        kept = {
            item
            for _, writes in self.group.promoted.log
            for _, item, _ in writes
        }
        # Answers that were sent before the promotion may still be read.
        await asyncio.sleep(0.1)
        self.lost = [item for item in self.acknowledged if item not in kept]
        self.lost = [item for item in self.lost if item in self.before()]

    def before(self) -> set[str]:
        """Items of the former primary's log."""
        return {
            item
            for _, writes in self.group.members[0].log
            for _, item, _ in writes
        }

    async def write(self, proxy: Host, number: int) -> None:
        """Write one item after the other."""
        count = 0
        while not self.is_over:
            session = Session(self.record, f'client {proxy.name}/{number}')
            if not await session.open(self.fleet.front(proxy), 'orders'):
                await asyncio.sleep(0.1)
                continue
            try:
                while not self.is_over:
                    count += 1
                    item = f'w-{proxy.name}-{number}-{count}'
                    _, outcome = await session.ask(f'WRITE {item} new')
                    if outcome.startswith('DONE'):
                        self.acknowledged.append(item)
                    await asyncio.sleep(0.01)
            except ClosedError:
                session.close()


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
        print('cannot run: no write was acknowledged')
        return 2
    print(
        f'{len(case.acknowledged)} writes acknowledged; not in the log of the '
        f'member that was promoted after: {len(case.lost)}, the first: '
        f'{case.lost[:4]}'
    )
    return 1 if case.lost else 0


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
