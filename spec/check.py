"""Checks the Promela models and their deliberate mistakes with spin.

Each model is searched exhaustively; each mistake must be found. Prints one
line a run and exits non-zero if a model fails or a mistake is not found.
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

REMEDY = 'spin and gcc are needed: apt-get install spin gcc'

_FOLDER = Path(__file__).resolve().parent
_WORKERS = 4
_MEMORY_MB = 400
_DEPTH = 100_000
_TIME_LIMIT_S = 120

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
    """A tool is missing, or a search ended before it was complete."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Run:
    """Result of one search."""

    model: str
    mistake: str | None
    errors: int
    states: int

    @property
    def is_expected(self) -> bool:
        """Whether a correct model passed, or a mistake was found."""
        return (self.errors > 0) == (self.mistake is not None)

    def line(self) -> str:
        """Describe the run."""
        name = self.model if self.mistake is None else self.mistake
        verdict = 'error found' if self.errors else 'no error'
        expected = 'as expected' if self.is_expected else 'NOT AS EXPECTED'
        return (
            f'{self.model:20} {name:20} {self.states:>9} states  '
            f'{verdict}, {expected}'
        )


def check_model(model: str) -> Iterator[Run]:
    """Search a model and each of its mistakes."""
    if not (shutil.which('spin') and shutil.which('gcc')):
        raise SpecificationError(REMEDY)
    with ThreadPoolExecutor(_WORKERS) as workers:
        yield from workers.map(
            lambda mistake: _search(model, mistake), (None, *MISTAKES[model])
        )


def _search(model: str, mistake: str | None) -> Run:
    defines = [] if mistake is None else [f'-D{mistake}']
    source = _FOLDER / f'{model}.pml'
    with tempfile.TemporaryDirectory() as folder:
        _call(folder, 'spin', '-a', *defines, str(source))
        _call(
            folder,
            'gcc',
            '-O2',
            '-w',
            '-DSAFETY',
            '-DCOLLAPSE',
            f'-DMEMLIM={_MEMORY_MB}',
            '-o',
            'pan',
            'pan.c',
        )
        output = _call(folder, './pan', f'-m{_DEPTH}', '-b')
    errors = _number(r'errors: (\d+)', output)
    if 'out of memory' in output or 'max search depth too small' in output:
        raise SpecificationError(f'{model}: the search is not complete')
    return Run(
        model=model,
        mistake=mistake,
        errors=errors,
        states=_number(r'(\d+) states, stored', output),
    )


def _call(folder: str, *command: str) -> str:
    finished = subprocess.run(
        command,
        cwd=folder,
        capture_output=True,
        text=True,
        check=False,
        timeout=_TIME_LIMIT_S,
    )
    if finished.returncode and command[0] != './pan':
        raise SpecificationError(finished.stdout + finished.stderr)
    return finished.stdout


def _number(pattern: str, output: str) -> int:
    found = re.search(pattern, output)
    if found is None:
        raise SpecificationError(f'unexpected output of spin:\n{output}')
    return int(found[1])


def main() -> int:
    """Check all models."""
    runs = [run for model in MISTAKES for run in check_model(model)]
    for run in runs:
        print(run.line())
    return 0 if all(run.is_expected for run in runs) else 1


if __name__ == '__main__':
    sys.exit(main())
