"""Gates of the listeners of a process, from its limits."""

import resource
from collections.abc import Callable
from operator import attrgetter
from typing import TypeVar

import anyio

from lavendergate.core.connections.descriptors import (
    ConnectionLimits,
    ProcessLimits,
    divide_descriptors,
)
from lavendergate.observability.exposition import HttpMetrics
from lavendergate.observability.log import EventLog
from lavendergate.observability.process_events import ProcessEvent
from lavendergate.platform.settings_file import HostSettings
from lavendergate.supervision.connection_gate import (
    ConnectionGate,
    close_nothing,
)

NumberT = TypeVar('NumberT', int, float)


class ConnectionGates:
    """Makes the gates of the listeners of one process.

    Parameters
    ----------
    settings
        Settings at the start.
    """

    def __init__(
        self, *, settings: HostSettings, events: EventLog, metrics: HttpMetrics
    ) -> None:
        self._events = events
        self._metrics = metrics
        self._limits = _limits_of(settings)
        self._log_limits()

    @property
    def limits(self) -> ConnectionLimits:
        """Limits in force."""
        return self._limits

    def change(self, settings: HostSettings) -> None:
        """Apply changed settings; open connections stay open."""
        limits = _limits_of(settings)
        if limits != self._limits:
            self._limits = limits
            self._log_limits()

    def callers(
        self, close_idle: Callable[[], bool] = close_nothing
    ) -> ConnectionGate:
        """Return the gate of callers, or of members and operators."""
        return self._gate('callers', 'callers', close_idle)

    def peers(self) -> ConnectionGate:
        """Return the gate of other hosts."""
        return self._gate('peers', 'peers')

    def operations(self, kind: str) -> ConnectionGate:
        """Return a gate of readiness checks or of metrics."""
        return self._gate(kind, 'operations')

    def _gate(
        self,
        kind: str,
        part: str,
        close_idle: Callable[[], bool] = close_nothing,
    ) -> ConnectionGate:
        limit_of = attrgetter(part)
        return ConnectionGate(
            kind=kind,
            limit=lambda: limit_of(self._limits),
            spare=lambda: self._limits.spare,
            clock=anyio.current_time,
            events=self._events,
            metrics=self._metrics,
            close_idle=close_idle,
        )

    def _log_limits(self) -> None:
        self._events.emit(
            ProcessEvent.connections_limited,
            callers=self._limits.callers,
            peers=self._limits.peers,
            members=self._limits.members,
            operations=self._limits.operations,
        )


def _limits_of(settings: HostSettings) -> ConnectionLimits:
    limits = settings.limits
    return divide_descriptors(
        ProcessLimits(
            platform_descriptors=_positive(limits.max_fds),
            process_descriptors=_process_descriptors(),
            memory_mb=_positive(limits.memory_mb),
        )
    )


def _process_descriptors() -> int | None:
    try:
        limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    except OSError:
        return None
    return _positive(limit)


def _positive(number: NumberT | None) -> NumberT | None:
    return number if number is not None and number > 0 else None
