"""A planned stop of a proxy while clients are in transactions."""

import asyncio
import os
import random
import signal
import sys
import time
from dataclasses import dataclass
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from kit.clients import (  # noqa: E402
    LostError,
    Session,
    configuration,
    publish,
    wait_until_served,
)
from kit.fleet import (  # noqa: E402
    BOUNDS,
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
DATABASE = 'own-svc1'
CLIENTS = 120
TIMEOUT_MS = 800
# A transaction has twelve statements with its begin and its commit.
WRITES = 10
WORK_S = (0.15, 0.17)
PAUSE_S = (0.15, 0.25)


@dataclass
class Balancer:
    """Where the platform sends new connections.

    Parameters
    ----------
    is_sending
        Whether the proxy under test still gets new connections.
    """

    is_sending: bool = True


@dataclass
class Lost:
    """A request whose connection ended without an answer."""

    request: str
    sent_at: float
    ended_at: float


async def transact(
    proxy: Program,
    balancer: Balancer,
    record: Record,
    number: int,
    lost: list[Lost],
) -> None:
    """Run transactions while the platform sends connections to the proxy."""
    count = 0
    while balancer.is_sending:
        session = Session(record, f'client-{number}')
        try:
            await session.start(proxy.front, DATABASE)
        except LostError:
            return
        try:
            while True:
                count += 1
                await one_transaction(session, f't{number}x{count}', lost)
        except LostError:
            session.close()


async def one_transaction(
    session: Session, name: str, lost: list[Lost]
) -> None:
    """Run one transaction; raise `LostError` if the session has ended."""
    texts = ['BEGIN']
    texts += [f'WRITE item-{name} {step}' for step in range(WRITES)]
    texts.append('COMMIT')
    for step, text in enumerate(texts):
        request = f'{name}s{step}'
        sent_at = time.monotonic()
        try:
            answer = await session.query(text, request=request)
        except LostError:
            lost.append(Lost(request, sent_at, time.monotonic()))
            raise
        if answer.code:
            raise LostError(answer.code)
        await asyncio.sleep(random.uniform(*PAUSE_S))


def is_broken(found: Lost, service: Service, stopped_at: float) -> bool:
    """Apply the rule with its excuses."""
    arrived_at = service.arrivals.get(found.request)
    if arrived_at is None or arrived_at > found.ended_at:
        # Nobody has passed it on.
        return False
    if found.ended_at - found.sent_at >= TIMEOUT_MS / 1000:
        return False
    if found.sent_at - stopped_at <= 3:
        # The member may have been at work in the last sixth of the grace.
        return False
    return found.ended_at - stopped_at <= BOUNDS['graceS'] + 1


async def play(record: Record) -> int:
    """Play the case and return its status."""
    platform = Platform(record)
    fleet = Fleet(record, await platform.start())
    service = Service(
        record, 'svc1', slots=100, max_connections=400, work_s=WORK_S
    )
    platform.services[service.name] = service
    await service.start(fleet)
    lost: list[Lost] = []
    balancer = Balancer()
    try:
        fleet.start()
        asyncio.create_task(platform.send_heartbeats(fleet))
        await publish(fleet, configuration(1, [service], timeout_ms=TIMEOUT_MS))
        await wait_until_served(fleet, [DATABASE])
        stopping = fleet.proxies[0]
        for number in range(CLIENTS):
            asyncio.create_task(
                transact(stopping, balancer, record, number, lost)
            )
            await asyncio.sleep(0.04)
        await asyncio.sleep(6)
        lost.clear()
        stopped_at = time.monotonic()
        if HAS_TROUBLE:
            stopping.restarts = False
            stopping.send_signal(signal.SIGTERM)
            balancer.is_sending = False
        await asyncio.sleep(BOUNDS['graceS'] + 2)
        broken = [
            found for found in lost if is_broken(found, service, stopped_at)
        ]
        for found in broken:
            record(
                f'LOST {found.request}: sent '
                f'{found.sent_at - stopped_at:.2f} s after SIGTERM, passed on '
                f'{service.arrivals[found.request] - stopped_at:.2f} s, cut '
                f'{found.ended_at - stopped_at:.2f} s after it'
            )
        print(f'LOST: {len(broken)} requests that a member had got')
        return BROKEN if broken else HELD
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
