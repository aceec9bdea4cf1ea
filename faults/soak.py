"""Soak of real processes: disturbances in series that overlap, by a seed.

``python3 -m faults.soak --seeds 50`` plays seeds 0 to 49, two at a time;
``--plan 7`` prints what seed 7 does. The output of the processes of a seed
that failed is kept.
"""

import argparse
import asyncio
import re
import shutil
import signal
import sys
import time
from collections import Counter
from collections.abc import Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from kit.clients import (
    LostError,
    Session,
    configuration,
    publish,
    wait_until_served,
)
from kit.members import Platform, Service

from faults.processes import Fleet, Program, Record
from faults.soak_disturbances import Disturber, Output
from faults.soak_plan import CONTROL_HOSTS, Plan, make_plan

_CALLERS_PER_PROXY = 2
_PAUSE_S = 0.05
_STATEMENTS_PER_SESSION = 60
_WRITE_EACH = 5
# Longer than the time limit of the routes and the longest freeze together.
_ANSWER_LIMIT_S = 5.0
_RECOVERY_S = 12.0
_LAST_VERSION = 1_000_000
_DATABASE = 'own-svc1'
_END = re.compile(r'end (\S+) with status (-?\d+) after a signal')
# Planned stop, stop before the handler of signals is there, kill.
_PLANNED_STATUSES = frozenset((0, -15, -9))


class SoakRecord(Record):
    """Record that also keeps the unexpected statuses of stopped processes."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self.findings: list[str] = []

    def __call__(self, text: str) -> None:
        """Write a line."""
        super().__call__(text)
        ended = _END.fullmatch(text)
        if ended and int(ended[2]) not in _PLANNED_STATUSES:
            self.findings.append(f'{ended[1]} stopped with status {ended[2]}')


@dataclass(kw_only=True)
class Observations:
    """What the callers of a seed saw."""

    counts: Counter[str] = field(default_factory=Counter)
    findings: list[str] = field(default_factory=list)
    acknowledged: list[tuple[str, str]] = field(default_factory=list)


class Caller:
    """Reads and writes over one connection until it is closed.

    Parameters
    ----------
    is_beside
        Whether no step aims at the proxy, so that it answers everything.
    """

    def __init__(
        self,
        *,
        proxy: Program,
        name: str,
        record: Record,
        seen: Observations,
        is_beside: bool,
    ) -> None:
        self._proxy = proxy
        self._name = name
        self._record = record
        self._seen = seen
        self._is_beside = is_beside
        self._number = 0

    async def run(self) -> None:
        """Use one connection after the other until cancelled."""
        while True:
            session = Session(self._record, self._name)
            try:
                await self._use(session)
            except LostError as error:
                self._note_loss(error)
            finally:
                if hasattr(session, 'writer'):
                    session.close()
            await asyncio.sleep(_PAUSE_S)

    async def _use(self, session: Session) -> None:
        try:
            await session.start(self._proxy.front, _DATABASE)
        except LostError:
            self._seen.counts['not connected'] += 1
            return
        for _ in range(_STATEMENTS_PER_SESSION):
            self._number += 1
            item, content = f'item-{self._name}', str(self._number)
            is_write = self._number % _WRITE_EACH == 0
            text = f'WRITE {item} {content}' if is_write else f'READ {item}'
            answer = await session.query(text, timeout_s=_ANSWER_LIMIT_S)
            self._seen.counts[answer.code or 'done'] += 1
            if is_write and not answer.code:
                self._seen.acknowledged.append((item, content))
            await asyncio.sleep(_PAUSE_S)

    def _note_loss(self, error: LostError) -> None:
        if isinstance(error.__cause__, TimeoutError):
            self._seen.findings.append(
                f'{self._name} at {self._proxy.name}: neither an answer nor '
                f'a close within {_ANSWER_LIMIT_S:g} s'
            )
        elif self._is_beside:
            self._seen.findings.append(
                f'{self._name} at {self._proxy.name}, which nobody disturbed: '
                f'no answer: {error}'
            )
        self._seen.counts['closed'] += 1


class Soak:
    """Plays one seed.

    Parameters
    ----------
    plan
        What is done to which process, and when.
    folder
        Receives the record and the output of the processes.
    """

    def __init__(self, *, plan: Plan, folder: Path) -> None:
        self._plan = plan
        self._folder = folder
        self._record = SoakRecord(folder)
        self._seen = Observations()
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def counts(self) -> dict[str, int]:
        """Answers of the callers by outcome."""
        return dict(self._seen.counts)

    async def play(self) -> list[str]:
        """Return what was found; empty if all held."""
        platform = Platform(self._record)
        fleet = Fleet(
            self._record,
            await platform.start(),
            control=CONTROL_HOSTS,
            proxies=self._plan.proxies,
        )
        outputs = {
            program.name: Output(program, self._folder / program.name)
            for program in fleet.programs
        }
        service = Service(self._record, 'svc1')
        platform.services[service.name] = service
        await service.start(fleet)
        try:
            await self._disturb(platform, fleet, service, outputs)
        except Exception as error:  # noqa: BLE001
            self._seen.findings.append(repr(error))
        finally:
            for task in self._tasks:
                task.cancel()
            await fleet.stop()
            for output in outputs.values():
                output.end()
        return self._findings(fleet, service)

    async def _disturb(
        self,
        platform: Platform,
        fleet: Fleet,
        service: Service,
        outputs: dict[str, Output],
    ) -> None:
        fleet.start()
        if self._plan.first_kill_s is not None:
            await asyncio.sleep(self._plan.first_kill_s)
            for host in fleet.control:
                host.send_signal(signal.SIGKILL)
        self._start_task(platform.send_heartbeats(fleet))
        await publish(fleet, configuration(1, [service]))
        await wait_until_served(fleet, [_DATABASE])
        self._start_callers(fleet)
        disturber = Disturber(fleet=fleet, service=service, outputs=outputs)
        began = time.monotonic()
        async with asyncio.TaskGroup() as steps:
            for step in self._plan.steps:
                delay_s = step.at_s - (time.monotonic() - began)
                await asyncio.sleep(max(delay_s, 0))
                steps.create_task(disturber.carry_out(step))
        await publish(
            fleet, configuration(_LAST_VERSION, [service]), within_s=_RECOVERY_S
        )
        await wait_until_served(fleet, [_DATABASE], within_s=_RECOVERY_S)

    def _start_callers(self, fleet: Fleet) -> None:
        for number in range(_CALLERS_PER_PROXY * len(fleet.proxies)):
            proxy = fleet.proxies[number % len(fleet.proxies)]
            caller = Caller(
                proxy=proxy,
                name=f'caller-{number}',
                record=self._record,
                seen=self._seen,
                is_beside=proxy.name not in self._plan.disturbed,
            )
            self._start_task(caller.run())

    def _start_task(self, run: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(run))

    def _findings(self, fleet: Fleet, service: Service) -> list[str]:
        found = [*self._record.findings, *self._seen.findings]
        found += [
            f'{program.name} ended by itself with {program.own_ends}'
            for program in fleet.programs
            if program.own_ends
        ]
        kept = {
            (item, content)
            for commit in service.primary.log
            for item, content, _ in commit.writes
        }
        lost = [one for one in self._seen.acknowledged if one not in kept]
        if lost:
            found.append(
                f'{len(lost)} acknowledged writes are lost: {lost[:3]}'
            )
        return found


async def _play_seed(seed: int, logs: Path) -> list[str]:
    folder = logs / f'seed-{seed}'
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    plan = make_plan(seed)
    (folder / 'plan').write_text(f'{plan}\n')
    soak = Soak(plan=plan, folder=folder)
    found = await soak.play()
    lines = [f'seed {seed} {"failed" if found else "held"}: {soak.counts}']
    lines += [f'    {finding}' for finding in Counter(found)]
    print('\n'.join(lines), flush=True)
    if not found:
        shutil.rmtree(folder)
    return found


async def _play_seeds(
    seeds: range, at_a_time: int, logs: Path
) -> tuple[int, ...]:
    """Play each seed in a process of its own; return those that failed."""
    slots = asyncio.Semaphore(at_a_time)

    async def play(seed: int) -> int:
        words = ['--first', str(seed), '--logs', str(logs)]
        async with slots:
            process = await asyncio.create_subprocess_exec(
                sys.executable, '-m', 'faults.soak', *words
            )
            return await process.wait()

    statuses = await asyncio.gather(*map(play, seeds))
    return tuple(
        seed for seed, status in zip(seeds, statuses, strict=True) if status
    )


def main() -> int:
    """Play seeds, or print the plan of one."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--first', type=int, default=0)
    parser.add_argument('--at-a-time', type=int, default=2)
    parser.add_argument('--logs', type=Path, default=Path('build', 'soak'))
    parser.add_argument('--plan', type=int)
    options = parser.parse_args()
    if options.plan is not None:
        print(make_plan(options.plan))
        return 0
    if options.seeds == 1:
        return 1 if asyncio.run(_play_seed(options.first, options.logs)) else 0
    seeds = range(options.first, options.first + options.seeds)
    failed = asyncio.run(_play_seeds(seeds, options.at_a_time, options.logs))
    print(f'{len(seeds) - len(failed)} passed, {len(failed)} failed: {failed}')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
