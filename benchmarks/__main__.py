"""Runs measurement commands: ``python -m benchmarks [NAME [OPTION …]]``.

Without a name all commands run. Each run is appended to
docs/measurements.md with its date, commit, command and output.
"""

import os
import platform
import shlex
import subprocess
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path

COMMANDS = {
    'failover_gap': 'time without acknowledged writes, by fault',
    'settings_propagation': 'time until a change is in force everywhere',
    'replicated_log': 'throughput, CPU time and restart of the log',
    'settings_tree': 'cost of changes and of effective settings',
    'decisions': "cost of the statement path's decisions",
    'proxy_cost': 'statements per second, added latency, memory',
    'replica_share': 'reads served by replicas, by routing policy',
    'region_share': 'reads beside members in other regions',
    'overload': 'goodput at several times the capacity',
    'share_division': 'use of connections by leased and equal shares',
    'connection_policies': 'many proxies before few member connections',
    'service_order': 'order of statements that wait at one member',
    'fleet_directory': 'cost of announced members and of their answers',
}
PAGE = Path(__file__).resolve().parent.parent / 'docs' / 'measurements.md'
_TABLE_END = '\n\n## Runs\n'
_HEAD = (
    """# Measurements

Each run of `make measure NAME=…` adds a row to the table and its output below.
All processes run on one machine and talk over loopback, so network latency is
missing unless a command models it. The machine is shared with other programs,
which also measure; the load average at the start of a run shows how busy it
was, and the spread of a figure includes their influence. A run whose exit
status is not 0 failed or found a violation.

| Date (UTC) | Commit | Command | Load average | Time | Exit status |
| --- | --- | --- | --- | --- | --- |"""
    + _TABLE_END
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Run:
    """Result of one measurement command; ``lasted_s`` is in seconds."""

    began_at: datetime
    commit: str
    command: str
    load: float
    lasted_s: float
    status: int
    output: str

    @property
    def row(self) -> str:
        """Markdown row of the table of runs."""
        return (
            f'| {self.began_at:%Y-%m-%d %H:%M} | {self.commit} '
            f'| `{self.command}` | {self.load:.1f} | {self.lasted_s:.0f} s '
            f'| {self.status} |'
        )

    @property
    def section(self) -> str:
        """Markdown section with the output and the conditions of the run."""
        return (
            f'\n### {self.began_at:%Y-%m-%d %H:%M} `{self.command}`\n\n'
            f'Commit {self.commit}, Python {platform.python_version()}, '
            f'{os.cpu_count()} cores, load average {self.load:.1f} at the '
            'start, shared machine.\n\n'
            f'```text\n{self.output.rstrip()}\n```\n'
        )


def run(name: str, options: Sequence[str]) -> Run:
    """Run one command, print its output as it arrives and return the result."""
    module = [sys.executable, '-m', f'benchmarks.{name}', *options]
    began_at, begun = datetime.now(UTC), time.monotonic()
    commit, load = _commit(), os.getloadavg()[0]
    lines = []
    with subprocess.Popen(
        module, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True
    ) as process:
        assert process.stdout is not None
        for line in process.stdout:
            print(line, end='', flush=True)
            lines.append(line)
    return Run(
        began_at=began_at,
        commit=commit,
        command=shlex.join(['python', '-m', *module[2:]]),
        load=load,
        lasted_s=time.monotonic() - begun,
        status=process.returncode,
        output=''.join(lines).replace(f'{PAGE.parent.parent}/', ''),
    )


def record(done: Run, page: Path) -> None:
    """Add a run's row to the table of the page and append its section."""
    text = page.read_text() if page.exists() else _HEAD
    table, _, sections = text.partition(_TABLE_END)
    page.write_text(f'{table}\n{done.row}{_TABLE_END}{sections}{done.section}')


def main(arguments: Sequence[str]) -> int:
    """Run the named command, or all available ones; return the exit status."""
    available = [name for name in COMMANDS if _exists(name)]
    name, *options = arguments or ['']
    if name and name not in available:
        print(f'{name!r} is no measurement command; known commands:')
        print(_listing(available))
        return 2
    chosen = [name] if name else available
    print(_listing(chosen), flush=True)
    worst = 0
    for number, each in enumerate(chosen, 1):
        print(f'[{number}/{len(chosen)}] {each}', flush=True)
        done = run(each, options)
        record(done, PAGE)
        print(
            f'[{number}/{len(chosen)}] {each}: {done.lasted_s:.0f} s, exit '
            f'status {done.status}',
            flush=True,
        )
        worst = max(worst, abs(done.status))
    return worst


def _exists(name: str) -> bool:
    return (Path(__file__).parent / f'{name}.py').exists()


def _listing(names: Sequence[str]) -> str:
    return '\n'.join(f'  {name:22} {COMMANDS[name]}' for name in names)


def _commit() -> str:
    return _git('rev-parse', '--short', 'HEAD') + (
        ' with changes' if _git('status', '--porcelain', '-uno') else ''
    )


def _git(*arguments: str) -> str:
    done = subprocess.run(
        ['git', *arguments], capture_output=True, text=True, check=False
    )
    return done.stdout.strip()


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
