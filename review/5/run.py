"""A heartbeat of another writer that names an address which is none."""

import asyncio
import json
import os
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from kit import http  # noqa: E402
from kit.clients import (  # noqa: E402
    LostError,
    Session,
    configuration,
    publish,
    wait_until_served,
)
from kit.fleet import (  # noqa: E402
    BROKEN,
    HELD,
    NOT_RUN,
    Fleet,
    Program,
    Record,
    finish,
)
from kit.members import Platform, Service  # noqa: E402

HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
PROXIES = 8
CONNECTIONS = 16
PORT = 70000
WATCHED_S = 30
KINDS = ('own', 'first', 'stale')


async def use(
    proxy: Program, record: Record, number: int, counts: Counter[str]
) -> None:
    """Read and write at a proxy; count the outcomes."""
    kind = KINDS[number % len(KINDS)]
    step = 0
    while True:
        session = Session(record, f'client-{number}')
        try:
            await session.start(proxy.front, f'{kind}-svc1')
        except LostError:
            await asyncio.sleep(0.5)
            continue
        try:
            for _ in range(50):
                step += 1
                text = f'READ item-{number}'
                if step % 5 == 0 and kind != 'stale':
                    text = f'WRITE item-{number} {step}'
                answer = await session.query(text)
                counts[answer.code or 'DONE'] += 1
                await asyncio.sleep(0.05)
            session.close()
        except LostError:
            counts['no answer'] += 1
            await asyncio.sleep(0.1)


async def play(record: Record) -> int:
    """Play the case and return its status."""
    platform = Platform(record)
    fleet = Fleet(record, await platform.start(), proxies=PROXIES)
    service = Service(
        record,
        'svc1',
        slots=2,
        max_connections=CONNECTIONS,
        work_s=(0.01, 0.035),
    )
    platform.services[service.name] = service
    await service.start(fleet)
    counts: Counter[str] = Counter()
    try:
        fleet.start()
        asyncio.create_task(platform.send_heartbeats(fleet))
        await publish(fleet, configuration(1, [service]))
        await wait_until_served(fleet, [f'{kind}-svc1' for kind in KINDS])
        for number in range(3 * PROXIES):
            proxy = fleet.proxies[number % PROXIES]
            asyncio.create_task(use(proxy, record, number, counts))
        await asyncio.sleep(3)
        if HAS_TROUBLE:
            odd = {
                'service': service.name,
                'address': f'{fleet.ip()}:{PORT}',
                'zone': 'zone-a',
                'version': 'v1',
                'capacity': 2,
                'state': 'ready',
                'warmupLeftMs': 0,
                'dbRole': 'replica',
                'sequence': 1,
                'born': int(time.time() * 1000),
            }
            host = fleet.control[0]
            answer = await http.call(
                host.control,
                'PUT',
                '/instances/i-0ddba11',
                json.dumps(odd).encode(),
            )
            record(f'odd heartbeat {odd} to {host.name}: {answer}')
        await asyncio.sleep(WATCHED_S)
        ends = {one.name: len(one.own_ends) for one in fleet.programs}
        text = f'ends by themselves: {ends}; answers: {dict(counts)}'
        record(text)
        print(text)
        often = [name for name, count in ends.items() if count >= 3]
        limit = max(2, len(fleet.programs) / 10)
        return BROKEN if len(often) >= limit else HELD
    finally:
        await fleet.stop()


async def main() -> None:
    """Run the case."""
    record = Record(FOLDER)
    try:
        status = await asyncio.wait_for(play(record), 115)
    except Exception as error:
        record(f'could not run: {error!r}')
        print(f'could not run: {error!r}')
        status = NOT_RUN
    finish(status)


if __name__ == '__main__':
    asyncio.run(main())
