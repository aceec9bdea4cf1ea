"""Plays `review/7` as it stands and traces exactly the writes that it lists.

Run as ``python3 -m faults.review_trace``, after the build of the deploy file
and ``sh review/build-2.sh``. The case prints four of the writes that it
counts; here they are read from its object, and its record is traced. The log of
the promoted member is read from that object, too, once the case has ended.
"""

import argparse
import asyncio
import importlib.util
import sys
from collections.abc import Sequence
from pathlib import Path
from types import ModuleType
from typing import Any

from faults.promotion_group import Entry
from faults.promotion_record import read_events, trace
from faults.promotion_trace import describe

_CASE = Path(__file__).resolve().parent.parent / 'review' / '7'


def _load_case() -> ModuleType:
    spec = importlib.util.spec_from_file_location('case', _CASE / 'play.py')
    if spec is None or spec.loader is None:
        raise ImportError(f'{_CASE} has no play.py; restore it from git')
    case = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(case)
    return case


def _describe_places(
    name: str, log: Sequence[Entry], listed: Sequence[str]
) -> str:
    """Return where the listed writes are in a log."""
    places = {
        item: (number, term)
        for number, (term, writes) in enumerate(log, 1)
        for _, item, _ in writes
    }
    found = [places[item] for item in listed if item in places]
    if not found:
        return f'log of {name} at the end: none of {len(listed)} listed writes'
    first, last = min(found), max(found)
    return (
        f'log of {name} at the end: {len(found)} of {len(listed)} listed '
        f'writes, entries {first[0]} to {last[0]} of {len(log)}, terms '
        f'{first[1]} to {last[1]}; {listed[0]} is entry '
        f'{places.get(listed[0], ("missing",))[0]}'
    )


def play() -> tuple[int, int, str]:
    """Return the status of the case, the writes not kept, and the table."""
    case = _load_case()
    played: list[Any] = []
    make = case.Case

    def keep(record: object) -> object:
        played.append(make(record))
        return played[-1]

    case.Case = keep  # type: ignore[attr-defined]
    status = asyncio.run(case.main())
    if not played:
        raise RuntimeError(
            f'the case ended with status {status} before it began; build the '
            'deploy file first'
        )
    listed = played[0].lost
    with (_CASE / 'record.txt').open(encoding='utf-8') as record:
        traced = trace(read_events(record))
    # Only the writes that the case lists have rows of their own.
    table = describe(traced, listed=listed, span_s=0)
    promoted = played[0].group.promoted
    places = _describe_places(promoted.name, promoted.log, listed)
    table = f'{table}\n{places}'
    return status, len(traced.missing), table


def main() -> int:
    """Print a trace for each run; 0 if no write was lost in any of them."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--runs', type=int, default=1)
    lost = 0
    for number in range(1, parser.parse_args().runs + 1):
        print(f'== run {number}')
        status, missing, table = play()
        print(f'status of the case: {status}\n{table}', flush=True)
        lost += missing
    return 1 if lost else 0


if __name__ == '__main__':
    sys.exit(main())
