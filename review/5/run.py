"""A configuration that cannot be read in full, sent as operators send it."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from kit import http  # noqa: E402
from kit.clients import (  # noqa: E402
    configuration,
    publish,
    wait_until_served,
)
from kit.fleet import (  # noqa: E402
    BROKEN,
    HELD,
    NOT_RUN,
    CannotRunError,
    Fleet,
    Record,
    finish,
)
from kit.members import Platform, Service  # noqa: E402

HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
DEPTH = 3000
CALLS_S = 25
# Pause of the operator after a call without a clear response; it grows.
FIRST_PAUSE_S = 0.2
LONGEST_PAUSE_S = 1.0


def unreadable(service: Service) -> bytes:
    """Return a configuration with a field that has no end."""
    valid = configuration(2, [service])
    return valid[:-1] + b',"note":' + b'[' * DEPTH


async def order(fleet: Fleet, content: bytes) -> str:
    """Send an order to one node after the other until the answer is clear."""
    end_at = asyncio.get_running_loop().time() + CALLS_S
    pause_s = FIRST_PAUSE_S
    refusals = 0
    while asyncio.get_running_loop().time() < end_at:
        for host in fleet.control:
            answer = await http.call(host.control, 'PUT', '/config', content)
            fleet.record(
                f'operator sends {len(content)} bytes to {host.name}: {answer}'
            )
            if answer is None or answer[0] >= 500:
                await asyncio.sleep(pause_s)
                pause_s = min(2 * pause_s, LONGEST_PAUSE_S)
                continue
            if answer[0] == 200:
                return 'acknowledged'
            refusals += 1
            if answer[0] in {400, 409, 412, 413, 422} or refusals == 3:
                return 'refused'
    return 'no clear answer'


async def play(record: Record) -> int:
    """Play the case and return its status."""
    platform = Platform(record)
    fleet = Fleet(record, await platform.start())
    service = Service(record, 'svc1')
    platform.services[service.name] = service
    await service.start(fleet)
    try:
        fleet.start()
        asyncio.create_task(platform.send_heartbeats(fleet))
        await publish(fleet, configuration(1, [service]))
        await wait_until_served(fleet, ['own-svc1'])
        content = configuration(2, [service])
        if HAS_TROUBLE:
            content = unreadable(service)
        outcome = await order(fleet, content)
        await asyncio.sleep(2)
        ends = {host.name: len(host.own_ends) for host in fleet.control}
        record(f'the order was {outcome}; ends by themselves: {ends}')
        print(f'the order was {outcome}; ends by themselves: {ends}')
        often = [name for name, count in ends.items() if count >= 3]
        if len(often) * 2 >= len(fleet.control):
            return BROKEN
        if HAS_TROUBLE and outcome == 'acknowledged':
            return BROKEN
        return HELD
    finally:
        await fleet.stop()


async def main() -> None:
    """Run the case."""
    record = Record(FOLDER)
    try:
        status = await asyncio.wait_for(play(record), 110)
    except (CannotRunError, TimeoutError) as error:
        record(f'could not run: {error!r}')
        print(f'could not run: {error!r}')
        status = NOT_RUN
    finish(status)


if __name__ == '__main__':
    asyncio.run(main())
