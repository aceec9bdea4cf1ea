"""Traces the acknowledged writes of a run through one promotion.

Run as ``python3 -m faults.promotion_trace review/7/record.txt``. It prints when
each write around the promotion was sent, ran and was answered, which member ran
it, and whether the log of the promoted member has it, and ends with a verdict;
see `faults.promotion_record` for the rules. Uses the standard library only, so
that it runs without an installation.
"""

import argparse
import sys
from collections import Counter
from collections.abc import Iterable
from pathlib import Path

from faults.promotion_record import (
    KEPT,
    Event,
    RecordError,
    Trace,
    Write,
    read_events,
    trace,
)

_SPAN_S = 0.3
_EXIT_UNREADABLE = 2


def describe(
    traced: Trace, *, listed: Iterable[str] = (), span_s: float = _SPAN_S
) -> str:
    """Return a table of a trace and its verdict.

    Parameters
    ----------
    listed
        Items whose writes have a row of their own.
    span_s
        Writes that were acknowledged up to this time after the promotion, in
        seconds, have a row of their own, too.
    """
    wanted = set(listed)
    unseen = wanted - {write.item for write in traced.writes}
    sections = (
        [
            f'{event.at:9.4f} {event.who}: {event.what}'
            for event in traced.notable
        ],
        ['acknowledged writes:', *_counts(traced)],
        [
            f'{"sent":>9} {"ran":>9} {"answered":>9}  {"run by":12}  item; '
            f'log of {traced.promoted.who}',
            *(
                _row(write, '* ' if write.item in wanted else '')
                for write in traced.writes
                if write.item in wanted
                or write.verdict not in KEPT
                or _is_near(write, traced.promoted, span_s)
            ),
            *(f'not acknowledged by this record: {item}' for item in unseen),
        ],
        [_verdict(traced)],
    )
    return '\n\n'.join('\n'.join(section) for section in sections)


def _counts(traced: Trace) -> Iterable[str]:
    counts = Counter(
        (_place(write, traced.promoted), write.verdict)
        for write in traced.writes
    )
    for (place, verdict), count in counts.items():
        yield f'{count:7d}  {place}; {verdict.value}'


def _row(write: Write, mark: str) -> str:
    times = ' '.join(map(_time, (write.sent, write.ran, write.acknowledged)))
    member = '-' if write.ran is None else write.ran.who
    return f'{times}  {member:12}  {mark}{write.item}; {write.verdict.value}'


def _is_near(write: Write, promoted: Event, span_s: float) -> bool:
    answered = write.acknowledged
    return answered is not None and 0 <= answered.at - promoted.at <= span_s


def _verdict(traced: Trace) -> str:
    name = traced.promoted.who
    count = len(traced.writes)
    if traced.missing:
        return (
            f'verdict: {len(traced.missing)} of {count} acknowledged writes '
            f'are not shown to be in the log of {name}'
        )
    return (
        f'verdict: each of {count} acknowledged writes is in the log of '
        f'{name}, which was promoted'
    )


def _place(write: Write, promoted: Event) -> str:
    ran = write.ran
    if ran is None:
        return 'run by no member'
    when = 'after' if ran.number > promoted.number else 'before'
    return f'run by {ran.who} {when} the promotion'


def _time(event: Event | None) -> str:
    return f'{"-":>9}' if event is None else f'{event.at:9.4f}'


def main() -> int:
    """Print the trace; 0 if all writes are kept, 1 if not, 2 without one."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('record', type=Path, help='record.txt of a run')
    parser.add_argument(
        '--listed',
        nargs='*',
        default=(),
        metavar='ITEM',
        help='items that the case printed; their rows are marked with *',
    )
    parser.add_argument(
        '--span-s',
        type=float,
        default=_SPAN_S,
        help='seconds after the promotion of which each write has a row',
    )
    chosen = parser.parse_args()
    try:
        with chosen.record.open(encoding='utf-8') as record:
            traced = trace(read_events(record))
    except (OSError, UnicodeDecodeError, RecordError) as error:
        print(f'cannot trace {chosen.record}: {error}', file=sys.stderr)
        return _EXIT_UNREADABLE
    print(describe(traced, listed=chosen.listed, span_s=chosen.span_s))
    return 1 if traced.missing else 0


if __name__ == '__main__':
    sys.exit(main())
