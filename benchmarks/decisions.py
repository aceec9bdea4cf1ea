"""Measures the decisions of the statement path in microseconds per call.

Run with ``python -m benchmarks.decisions``. The target is a few
microseconds each, below 2 for a cached and 10 for an uncached
classification.
"""

import timeit
from collections.abc import Callable
from statistics import median

from benchmarks.statement_model import GroupRun
from benchmarks.statement_policies import Policy, RoutingInput
from benchmarks.statement_setup import GLASREINIGUNG, GROUP, Setup
from lavendergate.core import classification
from lavendergate.core.admission import (
    AdmissionQueue,
    AdmissionRequest,
    AdmissionSettings,
    QueueClass,
)
from lavendergate.core.decisions import BoundedRead, SessionRead, WriteRequest
from lavendergate.core.hints import parse_hints
from lavendergate.core.tokens import (
    EMPTY_TOKEN,
    TokenKey,
    TokenKeys,
    sign_token,
    verify_token,
)
from lavendergate.core.types import CallerId, LogPosition, Term

CALLS = 10_000
RUNS = 7
READ = 'SELECT pane, state FROM panes WHERE building = 17 AND floor = 3'
LOCKING = "SELECT * FROM panes WHERE mail = 'a@b.de' AND id = 3 FOR UPDATE"


def _start_and_finish(queue: AdmissionQueue) -> None:
    request = AdmissionRequest(
        caller_id=CallerId('tablet'),
        queue_class=QueueClass.session,
        needs_primary=False,
        deadline=10,
    )
    queue.try_start(request, 0, lambda _: True)
    queue.finish(request, 0.001)


def _cases() -> dict[str, Callable[[], object]]:
    setup = Setup(deployment=GLASREINIGUNG, load=1, lags=(0, 0), duration_s=0)
    view = GroupRun(setup, Policy(), 0).view
    policy = Policy()
    given = RoutingInput(
        region=setup.proxy_region(0),
        view=view,
        loads={},
        known_positions={},
        now=0,
        tie_breaker=0.3,
    )
    position = LogPosition(term=Term(1), position=10)
    keys = TokenKeys(signing=TokenKey(key_id='k', secret=b's' * 32))
    token = EMPTY_TOKEN.advance(GROUP, position).unwrap()
    text = sign_token(token, keys)
    hinted = f'/* lavendergate token={text} max_age_ms=2000 */ {READ}'
    queue = AdmissionQueue(group_id=GROUP, settings=AdmissionSettings())
    uncached = classification.classify.__globals__['_classify_uncached']
    return {
        'parse_hints without hints': lambda: parse_hints(READ),
        'parse_hints with a comment': lambda: parse_hints(hinted),
        'classify, cached': lambda: classification.classify(READ),
        'classify, uncached read': lambda: uncached(READ),
        'classify, uncached locking read': lambda: uncached(LOCKING),
        'verify_token': lambda: verify_token(text, keys),
        'sign_token': lambda: sign_token(token, keys),
        'admission, start and finish': lambda: _start_and_finish(queue),
        'route a write': lambda: policy(WriteRequest(), given),
        'route a session read': lambda: policy(
            SessionRead(position=position), given
        ),
        'route a bounded read': lambda: policy(
            BoundedRead(max_age_ms=2000), given
        ),
    }


def main() -> None:
    """Print one row for each decision."""
    print(f'{CALLS} calls, median (range) of {RUNS} runs, microseconds')
    for name, call in _cases().items():
        runs = [
            run / CALLS * 1e6
            for run in timeit.repeat(call, number=CALLS, repeat=RUNS)
        ]
        spread = f'({min(runs):.2f}-{max(runs):.2f})'
        print(f'{name:34} {median(runs):6.2f} {spread}')


if __name__ == '__main__':
    main()
