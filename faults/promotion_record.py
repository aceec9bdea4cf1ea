"""What became of the acknowledged writes of a run through one promotion.

The record of a run has one line for each event, in the order of the events:
what clients sent and got, what members ran, and what was crashed, cut off,
paused, ordered and promoted. For each write that a client was told is done, the
trace names the member that ran it and shows whether the log of the promoted
member has it.

The record names no logs, so this follows from the order of events:

- A write that the promoted member ran after it led is in its log.
- A write that the former primary ended while no other replica received
  anything was confirmed by the promoted member, so that its log has it.
- A log has no gaps. It has each write that had ended before the client sent a
  write of the previous kind.
- A write that the former primary ended after the promoted member had stopped
  receiving is lost if it was acknowledged.
"""

import enum
import re
from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass, field

_LINE = re.compile(r'^\s*(?P<at>\d+\.\d+) (?P<who>[^:]+): (?P<what>.*)$')
_SENT = re.compile(r'^sends (?P<request>\S+) (?P<text>.*)$')
_ANSWERED = re.compile(r'^gets (?P<request>\S+) (?P<outcome>.*)$')
_RAN = re.compile(
    r'^connection \S+ state (?P<state>[ITE]): (?P<request>\S+) '
    r'(?P<text>.*) -> (?P<outcome>.*)$'
)
_LEADS = re.compile(r'^leads term (?P<term>\d+)$')
_CUT = re.compile(r'^is cut off(?: from (?P<names>.*))?$')


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


KEPT = frozenset({Verdict.own, Verdict.confirmed, Verdict.earlier})


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
            write for write in self.writes if write.verdict not in KEPT
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
