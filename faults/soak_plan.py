"""What one seed of the soak does to which process, and when."""

import random
from collections.abc import Iterator
from dataclasses import dataclass

from faults.value_cases import VALUE_CASES

CONTROL_HOSTS = 3
DISTURBED_S = 12.0

_MIN_PROXIES = 2
_MAX_PROXIES = 8
_MIN_STEPS = 6
_MAX_STEPS = 14
_FIRST_KILL_SHARE = 0.2
_FIRST_KILL_S = (0.05, 0.7)
_MAX_SERIES = 5
_SERIES_PAUSE_S = (0.02, 0.6)
# Kinds of steps that last, with the least and longest time in seconds.
_LASTING: dict[str, tuple[float, float]] = {
    'half settings': (0.2, 2.0),
    'few descriptors': (0.5, 2.5),
    'freeze': (0.2, 2.5),
    'port taken': (0.7, 2.5),
    'output stalled': (0.5, 4.0),
    'output gone': (0.5, 4.0),
}
_MOMENTARY = ('hangup', 'kill', 'terminate')
_KINDS = (*_MOMENTARY, *_LASTING, 'odd value', 'odd value')


@dataclass(frozen=True, kw_only=True)
class Step:
    """One disturbance.

    Parameters
    ----------
    at_s
        Time since callers are served, in seconds.
    kind
        What is done.
    target
        Name of the process; empty if the whole fleet is meant.
    lasts_s
        Time until it is undone, in seconds; 0 if it cannot be undone.
    detail
        Odd value, or port.
    """

    at_s: float
    kind: str
    target: str = ''
    lasts_s: float = 0
    detail: str = ''

    def __str__(self) -> str:
        """Return a line of the printed plan."""
        lasts = f' for {self.lasts_s:.2f} s' if self.lasts_s else ''
        words = f'{self.kind} {self.detail}'.strip()
        return f'{self.at_s:6.2f} s  {words} {self.target}{lasts}'


@dataclass(frozen=True, kw_only=True)
class Plan:
    """Disturbances of one seed.

    Parameters
    ----------
    first_kill_s
        Time after the first start at which all control hosts are killed, in
        seconds; None if they are not.
    """

    seed: int
    proxies: int
    first_kill_s: float | None
    steps: tuple[Step, ...]

    @property
    def disturbed(self) -> frozenset[str]:
        """Names of the processes that a step aims at."""
        return frozenset(step.target for step in self.steps)

    def __str__(self) -> str:
        """Return the plan, a line for each step."""
        lines = [f'seed {self.seed}: {self.proxies} proxies']
        if self.first_kill_s is not None:
            lines.append(
                f'{self.first_kill_s:6.2f} s after the first start  '
                'kill all control hosts'
            )
        return '\n'.join([*lines, *map(str, self.steps)])


def make_plan(seed: int) -> Plan:
    """Return the plan of a seed; the same one each time."""
    source = random.Random(seed)
    proxies = source.randint(_MIN_PROXIES, _MAX_PROXIES)
    first_kill_s = None
    if source.random() < _FIRST_KILL_SHARE:
        first_kill_s = source.uniform(*_FIRST_KILL_S)
    # One proxy is left alone, so that its callers can be judged.
    names = [f'proxy-{number + 1}' for number in range(proxies - 1)]
    names += [f'control-{number + 1}' for number in range(CONTROL_HOSTS)]
    steps = [
        step
        for _ in range(source.randint(_MIN_STEPS, _MAX_STEPS))
        for step in _series(source, names)
    ]
    return Plan(
        seed=seed,
        proxies=proxies,
        first_kill_s=first_kill_s,
        steps=tuple(sorted(steps, key=lambda step: step.at_s)),
    )


def _series(source: random.Random, names: list[str]) -> Iterator[Step]:
    at_s = source.uniform(0, DISTURBED_S)
    kind = source.choice(_KINDS)
    match kind:
        case 'odd value':
            detail = source.choice(sorted(VALUE_CASES))
            yield Step(at_s=at_s, kind=kind, detail=detail)
        case 'hangup':
            target = source.choice(names)
            for _ in range(source.randint(1, _MAX_SERIES)):
                yield Step(at_s=at_s, kind=kind, target=target)
                at_s += source.uniform(*_SERIES_PAUSE_S)
        case 'kill' | 'terminate':
            # Several at once, up to all control hosts.
            count = source.randint(1, CONTROL_HOSTS)
            for target in source.sample(names, min(count, len(names))):
                yield Step(at_s=at_s, kind=kind, target=target)
        case _:
            yield Step(
                at_s=at_s,
                kind=kind,
                target=source.choice(names),
                lasts_s=source.uniform(*_LASTING[kind]),
                detail=source.choice(('metrics', 'served'))
                if kind == 'port taken'
                else '',
            )
