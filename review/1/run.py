"""A late DELETE of a member's former start, and a planned release."""

import asyncio
import json
import os
import sys
import time
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
    Record,
    finish,
)
from kit.members import Member, Platform, Service  # noqa: E402

HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
DATABASE = 'first-svc1'
WRITERS = 6
# Length of the partition between the member and one control host.
PARTITION_S = 5.0
# Time between the end of the member and its next start.
RESTART_S = 2.0
# Time for which a replica receives nothing.
DEAF_S = 5.0
# Time between the two disruptions.
SETTLED_S = 20.0


async def write(
    fleet: Fleet, record: Record, number: int, acked: dict[str, float]
) -> None:
    """Write one item after the other; note what was acknowledged."""
    proxy = fleet.proxies[number % len(fleet.proxies)]
    count = 0
    while True:
        session = Session(record, f'client-{number}')
        try:
            await session.start(proxy.front, DATABASE)
            while True:
                count += 1
                request = f'w{number}x{count}'
                answer = await session.query(
                    f'WRITE item-{number} {count}', request=request
                )
                if not answer.code and answer.text != '-':
                    acked[request] = time.monotonic()
                await asyncio.sleep(0.03)
        except LostError:
            await asyncio.sleep(0.2)


async def restart_replica(
    fleet: Fleet, platform: Platform, member: Member
) -> None:
    """Restart a replica as planned, under its id.

    The member calls the first control host on a path that a partition holds
    up, so it calls the next one after a second.
    """
    record = fleet.record
    member.state = 'draining'
    while member.draining_acknowledged_at is None:
        await asyncio.sleep(0.05)
    await asyncio.sleep(7.2)
    first, *others = fleet.control
    body = json.dumps(
        {'born': member.born, 'sequence': next(member.sequence)}
    ).encode()
    path = f'/instances/{member.id}'
    late: asyncio.Task[None] | None = None
    if HAS_TROUBLE:
        member.unreachable = {first.name}
        record(f'{member.id} sends DELETE to {first.name}: held up')

        async def deliver_late() -> None:
            await asyncio.sleep(PARTITION_S)
            answer = await http.call(first.control, 'DELETE', path, body)
            member.unreachable = set()
            record(f'the DELETE reaches {first.name}, which says {answer}')

        late = asyncio.create_task(deliver_late())
        await asyncio.sleep(1.0)
        targets = others
    else:
        targets = fleet.control
    for host in targets:
        answer = await http.call(host.control, 'DELETE', path, body)
        record(f'{member.id} sends DELETE to {host.name}: {answer}')
        if answer is not None and answer[0] == 200:
            break
    await member.crash()
    record(f'{member.id} has ended')
    await asyncio.sleep(RESTART_S)
    await member.come_back(is_empty=True)
    record(f'{member.id} starts again, born {member.born}')
    if late is not None:
        await late


async def play(record: Record) -> int:
    """Play the case and return its status."""
    platform = Platform(record)
    fleet = Fleet(record, await platform.start())
    service = Service(record, 'svc1', slots=16, max_connections=80)
    platform.services[service.name] = service
    await service.start(fleet)
    _, near, far = service.members
    acked: dict[str, float] = {}
    try:
        fleet.start()
        asyncio.create_task(platform.send_heartbeats(fleet))
        await publish(fleet, configuration(1, [service]))
        await wait_until_served(fleet, [DATABASE])
        for number in range(WRITERS):
            asyncio.create_task(write(fleet, record, number, acked))
        await asyncio.sleep(2)
        await restart_replica(fleet, platform, near)
        await asyncio.sleep(SETTLED_S)
        record(f'{far.id} receives nothing for {DEAF_S} s')
        far.is_deaf = True
        await asyncio.sleep(DEAF_S)
        far.is_deaf = False
        record(f'{far.id} receives again')
        await asyncio.sleep(4)
        leading = service.primary
        kept = {
            request for commit in leading.log for _, _, request in commit.writes
        }
        lost = sorted(set(acked) - kept, key=acked.__getitem__)
        record(f'{len(acked)} writes acknowledged, {len(lost)} lost: {lost}')
        print(f'LOST: {len(lost)} of {len(acked)} acknowledged writes')
        return BROKEN if lost else HELD
    finally:
        await fleet.stop()


async def main() -> None:
    """Run the case."""
    record = Record(FOLDER)
    try:
        status = await asyncio.wait_for(play(record), 110)
    except Exception as error:
        record(f'could not run: {error!r}')
        print(f'could not run: {error!r}')
        status = NOT_RUN
    finish(status)


if __name__ == '__main__':
    asyncio.run(main())
