"""Checks the Promela models with the model checker spin.

Each model is searched exhaustively, once as written and once with each of its
deliberate mistakes compiled in. The correct model must show no error, and each
mistake must lead to one. Prints one line per search and exits with status 1 if
any result differs from that.
"""

import re
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

MISSING_TOOLS_MESSAGE = 'spin and gcc are needed: apt-get install spin gcc'

_SPEC_DIRECTORY = Path(__file__).resolve().parent
_PARALLEL_SEARCHES = 4
_MAX_MEMORY_MB = 400
_MAX_SEARCH_DEPTH = 100_000
_COMMAND_TIMEOUT_S = 120

MISTAKES = {
    'failover': (
        'FENCE_ONE',
        'PICK_ANY',
        'POSITION_ONLY',
        'ACK_EARLY',
        'SAME_TERM',
    ),
    'settings': (
        'NO_DEDUPLICATION',
        'NO_COMPARISON',
        'EARLY_ANSWER',
        'FORGET_ANSWERS',
    ),
    'log_reconfiguration': (
        'SAME_IDENTITY',
        'TWO_AT_ONCE',
        'VOTE_ANY',
        'COUNT_LEARNER',
    ),
}


class SpecificationError(Exception):
    """spin or gcc is missing or failed, or a search was incomplete."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Run:
    """Result of the search of one model, correct or with a mistake."""

    model: str
    mistake: str | None
    errors: int
    states: int

    @property
    def is_expected(self) -> bool:
        """Whether errors were found exactly if a mistake was compiled in."""
        return (self.errors > 0) == (self.mistake is not None)

    def line(self) -> str:
        """Return the result as one line of the report."""
        name = self.model if self.mistake is None else self.mistake
        verdict = 'error found' if self.errors else 'no error'
        expected = 'as expected' if self.is_expected else 'NOT AS EXPECTED'
        return (
            f'{self.model:20} {name:20} {self.states:>9} states  '
            f'{verdict}, {expected}'
        )


def check_model(model: str) -> Iterator[Run]:
    """Search a model as written and with each of its mistakes."""
    if not (shutil.which('spin') and shutil.which('gcc')):
        raise SpecificationError(MISSING_TOOLS_MESSAGE)
    with ThreadPoolExecutor(_PARALLEL_SEARCHES) as workers:
        yield from workers.map(
            lambda mistake: _search(model, mistake), (None, *MISTAKES[model])
        )


def _search(model: str, mistake: str | None) -> Run:
    defines = [] if mistake is None else [f'-D{mistake}']
    source = _SPEC_DIRECTORY / f'{model}.pml'
    with tempfile.TemporaryDirectory() as folder:
        _run_command(folder, 'spin', '-a', *defines, str(source))
        _run_command(
            folder,
            'gcc',
            '-O2',
            '-w',
            '-DSAFETY',
            '-DCOLLAPSE',
            f'-DMEMLIM={_MAX_MEMORY_MB}',
            '-o',
            'pan',
            'pan.c',
        )
        output = _run_command(folder, './pan', f'-m{_MAX_SEARCH_DEPTH}', '-b')
    errors = _parse_count(r'errors: (\d+)', output)
    if 'out of memory' in output or 'max search depth too small' in output:
        raise SpecificationError(
            f'{model}: search incomplete: memory or depth limit reached'
        )
    return Run(
        model=model,
        mistake=mistake,
        errors=errors,
        states=_parse_count(r'(\d+) states, stored', output),
    )


def _run_command(folder: str, *command: str) -> str:
    finished = subprocess.run(
        command,
        cwd=folder,
        capture_output=True,
        text=True,
        check=False,
        timeout=_COMMAND_TIMEOUT_S,
    )
    if finished.returncode and command[0] != './pan':
        raise SpecificationError(finished.stdout + finished.stderr)
    return finished.stdout


def _parse_count(pattern: str, output: str) -> int:
    found = re.search(pattern, output)
    if found is None:
        raise SpecificationError(
            f'no match for {pattern!r} in the output of spin:\n{output}'
        )
    return int(found[1])


def main() -> int:
    """Check all models and return the exit status."""
    runs = [run for model in MISTAKES for run in check_model(model)]
    for run in runs:
        print(run.line())
    return 0 if all(run.is_expected for run in runs) else 1


if __name__ == '__main__':
    sys.exit(main())
