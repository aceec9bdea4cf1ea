"""Order of tasks in schedules that a seed repeats."""

from collections.abc import Iterator
from contextlib import contextmanager
from importlib import import_module
from unittest import mock


@contextmanager
def in_order(seed: int) -> Iterator[None]:
    """Let trio choose the order of tasks that are ready by a seed."""
    scheduler = import_module('trio._core._run')
    scheduler._r.seed(seed)
    with mock.patch.object(scheduler, '_ALLOW_DETERMINISTIC_SCHEDULING', True):
        yield
