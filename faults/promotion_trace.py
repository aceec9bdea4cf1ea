"""Traces the acknowledged writes of a run through one promotion.

Run as ``python3 -m faults.promotion_trace review/7/record.txt``. The record of
a run has one line for each event, in the order of the events: what clients
sent and got, what members ran, and what was crashed, cut off, paused, ordered
and promoted. For each write that a client was told is done, the trace names
the member that ran it and shows whether the log of the promoted member has it.

The record names no logs, so this follows from the order of events:

- A write that the promoted member ran after it led is in its log.
- A write that the former primary ended while no other replica received
  anything was confirmed by the promoted member, so that its log has it.
- A log has no gaps. It has each write that had ended before the client sent a
  write of the previous kind.
- A write that the former primary ended after the promoted member had stopped
  receiving is lost if it was acknowledged.

Uses the standard library only, so that it runs without an installation.
"""

import argparse
import enum
import re
import sys
from bisect import bisect_right
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

_LINE = re.compile(r'^\s*(?P<at>\d+\.\d+) (?P<who>[^:]+): (?P<what>.*)$')
_SENT = re.compile(r'^sends (?P<request>\S+) (?P<text>.*)$')
_ANSWERED = re.compile(r'^gets (?P<request>\S+) (?P<outcome>.*)$')
_RAN = re.compile(
    r'^connection \S+ state (?P<state>[ITE]): (?P<request>\S+) '
    r'(?P<text>.*) -> (?P<outcome>.*)$'
)
_LEADS = re.compile(r'^leads term (?P<term>\d+)$')
_CUT = re.compile(r'^is cut off(?: from (?P<names>.*))?$')
_SPAN_S = 0.3
_EXIT_UNREADABLE = 2


class RecordError(Exception):
    """The record of a run cannot be traced."""


@enum.unique
class Verdict(enum.Enum):
    """Whether the log of the promoted member has a write, and why."""

    own = 'in its log: it ran the write as the primary'
    confirmed = 'in its log: no other replica could confirm it'
    earlier = 'in its log: it precedes a write that is'
    lost = 'LOST: it ended when the promoted member received nothing'
    unknown = 'not shown: the record does not tell'


_KEPT = frozenset({Verdict.own, Verdict.confirmed, Verdict.earlier})


@dataclass(frozen=True, kw_only=True, slots=True)
class Event:
    """One line of a record; `number` counts the lines from 1."""

    number: int
    at: float
    who: str
    what: str


@dataclass(kw_only=True, slots=True)
class Write:
    """One write, or the end of a transaction that wrote.

    Parameters
    ----------
    sent, ran, acknowledged
        Lines of the client's statement, of the member's answer and of the
        client's answer; None if there is no such line.
    is_sole
        Whether only the promoted member received entries when it ended.
    is_received
        Whether the promoted member received entries then.
    """

    request: str
    text: str
    sent: Event
    ran: Event | None = None
    acknowledged: Event | None = None
    is_sole: bool = False
    is_received: bool = False
    verdict: Verdict = Verdict.unknown

    @property
    def item(self) -> str:
        """Item that is written; the statement itself at a commit."""
        words = self.text.split(' ')
        place = 2 if words[0] == 'EXEC' else 1
        return words[place] if len(words) > place else self.text


@dataclass(kw_only=True, slots=True)
class Trace:
    """The promotion of a record, and the acknowledged writes around it.

    Parameters
    ----------
    promoted
        Line on which the promoted member leads.
    ordered
        Line of the order; None if the record has none.
    notable
        Lines of crashes, returns, cuts, freezes, orders and promotions.
    writes
        All acknowledged writes, in the order of their answers.
    """

    promoted: Event
    ordered: Event | None
    notable: tuple[Event, ...]
    writes: tuple[Write, ...]

    @property
    def missing(self) -> tuple[Write, ...]:
        """Writes that are not shown to be in the promoted member's log."""
        return tuple(
            write for write in self.writes if write.verdict not in _KEPT
        )


@dataclass(kw_only=True, slots=True)
class _Receivers:
    """Which members receive the entries of the former primary."""

    promoted: str
    replicas: set[str]
    down: set[str] = field(default_factory=set)
    paused: set[str] = field(default_factory=set)
    cut: set[str] = field(default_factory=set)

    @property
    def present(self) -> set[str]:
        """Members that receive."""
        return self.replicas - self.down - self.paused - self.cut

    def apply(self, event: Event) -> None:
        """Follow a line of a member."""
        match event.what.split(' ')[0]:
            case 'crashes':
                self.down.add(event.who)
            case 'PAUSE':
                self.paused.add(event.who)
            case 'RESUME':
                self.paused.discard(event.who)
        if event.what == 'is back':
            self.down.discard(event.who)
            self.paused.discard(event.who)
        cut = _CUT.match(event.what)
        if cut is not None and event.who not in self.replicas:
            # A record that does not say from whom means the promoted member.
            names = (cut['names'] or self.promoted).split(', ')
            self.cut.update(self.replicas.intersection(names))
        if event.what == 'is reached again':
            self.cut.clear()


def read_events(lines: Iterable[str]) -> tuple[Event, ...]:
    """Return the events of a record.

    Raises
    ------
    RecordError
        If a line has another form.
    """
    events = []
    for number, line in enumerate(lines, 1):
        found = _LINE.match(line)
        if found is None:
            raise RecordError(
                f'line {number} is {line.strip()!r}, expected "SECONDS WHO: '
                'WHAT"; name the record.txt of a complete run'
            )
        events.append(
            Event(
                number=number,
                at=float(found['at']),
                who=found['who'],
                what=found['what'],
            )
        )
    return tuple(events)


def trace(events: tuple[Event, ...]) -> Trace:
    """Return what became of each acknowledged write.

    Raises
    ------
    RecordError
        If there is not exactly one promotion.
    """
    promotions = [event for event in events if _LEADS.match(event.what)]
    if len(promotions) != 1:
        raise RecordError(
            f'the record has {len(promotions)} promotions, expected 1; play '
            'the case with its disruptions'
        )
    promoted = promotions[0]
    writes = _follow(events, promoted)
    _judge(writes, promoted)
    orders = [event for event in events if event.what.startswith('promote {')]
    answered = [write for write in writes if write.acknowledged is not None]
    return Trace(
        promoted=promoted,
        ordered=orders[-1] if orders else None,
        notable=tuple(filter(_is_notable, events)),
        writes=tuple(sorted(answered, key=_answer_line)),
    )


def _follow(events: tuple[Event, ...], promoted: Event) -> tuple[Write, ...]:
    members = {event.who for event in events if _RAN.match(event.what)}
    members.add(promoted.who)
    former = _former_primary(events, promoted)
    receivers = _Receivers(promoted=promoted.who, replicas=members - {former})
    # Members that ran no statement appear when they crash or return.
    receivers.replicas |= {
        event.who for event in events if event.what in {'crashes', 'is back'}
    } - {former}
    writes: dict[str, Write] = {}
    prepared: set[tuple[str, str]] = set()
    for event in events:
        sent = _SENT.match(event.what)
        ran = _RAN.match(event.what)
        answered = _ANSWERED.match(event.what)
        if sent is not None:
            _note_prepared(prepared, event.who, sent['text'])
            if _writes(sent['text'], event.who, prepared):
                writes[sent['request']] = Write(
                    request=sent['request'], text=sent['text'], sent=event
                )
        elif ran is not None and ran['request'] in writes:
            # A write inside a transaction is kept by the COMMIT only.
            is_final = ran['state'] == 'I' or ran['text'] == 'COMMIT'
            if is_final and ran['outcome'].startswith('DONE'):
                write = writes[ran['request']]
                write.ran = event
                write.is_received = promoted.who in receivers.present
                write.is_sole = receivers.present == {promoted.who}
            elif not is_final:
                writes.pop(ran['request'])
        elif answered is not None and answered['request'] in writes:
            if answered['outcome'].startswith('DONE'):
                writes[answered['request']].acknowledged = event
        else:
            receivers.apply(event)
    return tuple(writes.values())


def _former_primary(events: tuple[Event, ...], promoted: Event) -> str:
    for event in events:
        ran = _RAN.match(event.what)
        if ran is None or event.who == promoted.who:
            continue
        is_write = ran['text'].split(' ')[0] in {'WRITE', 'EXEC', 'COMMIT'}
        if is_write and ran['outcome'].startswith('DONE'):
            return event.who
    raise RecordError(
        'no member ran a write before the promotion; name the record.txt of '
        'a complete run'
    )


def _note_prepared(
    prepared: set[tuple[str, str]], client: str, text: str
) -> None:
    words = text.split(' ')
    if words[0] == 'PREPARE':
        change = prepared.add if words[2] == 'WRITE' else prepared.discard
        change((client, words[1]))


def _writes(text: str, client: str, prepared: set[tuple[str, str]]) -> bool:
    words = text.split(' ')
    if words[0] == 'EXEC':
        return (client, words[1]) in prepared
    return words[0] in {'WRITE', 'COMMIT'}


def _judge(writes: tuple[Write, ...], promoted: Event) -> None:
    before = [
        write
        for write in writes
        if write.ran is not None and write.ran.number < promoted.number
    ]
    # Lines on which the clients sent the writes that are surely in the log.
    sure = sorted(
        write.sent.number
        for write in before
        if write.is_sole and write.ran is not None
    )
    for write in writes:
        ran = write.ran
        if ran is None:
            continue
        is_after = ran.number > promoted.number
        if ran.who == promoted.who:
            write.verdict = Verdict.own if is_after else Verdict.unknown
        elif is_after or not write.is_received:
            write.verdict = Verdict.lost
        elif write.is_sole:
            write.verdict = Verdict.confirmed
        elif bisect_right(sure, ran.number) < len(sure):
            write.verdict = Verdict.earlier


def _answer_line(write: Write) -> int:
    return 0 if write.acknowledged is None else write.acknowledged.number


def _is_notable(event: Event) -> bool:
    words = ('crashes', 'is back', 'is cut off', 'is reached', 'got SIG')
    return event.what.startswith(('promote', 'leads', 'PAUSE', *words))


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
                or write.verdict not in _KEPT
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
