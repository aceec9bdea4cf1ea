"""Bounds the open connections of a listener."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from lavendergate.core.connections.admission import (
    Admission,
    Admit,
    ConnectionLoad,
    Cut,
    ReplaceIdle,
    ReplaceWaiting,
    decide_admission,
)
from lavendergate.observability.exposition import HttpMetrics
from lavendergate.observability.log import EventLog
from lavendergate.observability.process_events import ProcessEvent

# Idle sessions are closed for connections above the spare ones at most once in
# this time, in seconds. Such a connection is not served anyway, and a storm of
# them would end the sessions of all callers.
_ROOM_INTERVAL_S = 0.1
# Refusals are logged once in this time; the metric counts all of them.
_LOG_INTERVAL_S = 10.0


def close_nothing() -> bool:
    """Close no idle session; return False."""
    return False


@dataclass(kw_only=True, slots=True, eq=False)
class GatedConnection:
    """An open connection.

    Parameters
    ----------
    is_served
        Whether it is served; if not, its peer is told so if possible.
    is_cut
        Whether it has to be closed at once.
    """

    is_served: bool = True
    is_cut: bool = False


class ConnectionGate:
    """Admits connections up to a limit.

    Parameters
    ----------
    kind
        Label in metrics and in the log.
    limit
        Returns the number of connections that may be served.
    spare
        Returns the number above the limit that may be open for a moment.
    clock
        Monotonic time, in seconds.
    close_idle
        Closes the oldest idle session; returns whether there was one.
    """

    def __init__(
        self,
        *,
        kind: str,
        limit: Callable[[], int],
        spare: Callable[[], int],
        clock: Callable[[], float],
        events: EventLog,
        metrics: HttpMetrics,
        close_idle: Callable[[], bool] = close_nothing,
    ) -> None:
        self._kind = kind
        self._limit = limit
        self._spare = spare
        self._clock = clock
        self._events = events
        self._close_idle = close_idle
        self._open: set[GatedConnection] = set()
        # Connections that wait for their peer's message, the longest first,
        # with the function that closes them and the begin of the wait.
        self._waiting: dict[
            GatedConnection, tuple[Callable[[], object], float]
        ] = {}
        self._refused = metrics.refused_connections.labels(kind)
        self._made_room_at = float('-inf')
        self._unlogged = 0
        self._logged_at = float('-inf')
        metrics.connections.labels(kind).set_function(lambda: len(self._open))

    @property
    def open_count(self) -> int:
        """Number of open connections."""
        return len(self._open)

    @contextmanager
    def enter(self) -> Iterator[GatedConnection]:
        """Count a connection for as long as it is open."""
        connection = GatedConnection()
        self._open.add(connection)
        try:
            self._admit(connection)
            yield connection
        finally:
            self._open.discard(connection)
            self._waiting.pop(connection, None)

    def begin_waiting(
        self, connection: GatedConnection, close: Callable[[], object]
    ) -> None:
        """Let a connection be closed while its peer sends nothing.

        Parameters
        ----------
        close
            Closes the connection.
        """
        self._waiting.pop(connection, None)
        self._waiting[connection] = (close, self._clock())

    def end_waiting(self, connection: GatedConnection) -> None:
        """Keep a connection whose peer has sent its message."""
        self._waiting.pop(connection, None)

    def _admit(self, connection: GatedConnection) -> None:
        match self._decide():
            case Admit():
                return
            case ReplaceWaiting():
                close, _ = self._waiting.pop(next(iter(self._waiting)))
                close()
            case ReplaceIdle():
                if not self._close_idle():
                    connection.is_served = False
            case Cut():
                self._make_room()
                connection.is_served = False
                connection.is_cut = True
        if not connection.is_served:
            self._record_refusal()

    def _make_room(self) -> None:
        """Close an idle session for the next connections."""
        now = self._clock()
        if now - self._made_room_at >= _ROOM_INTERVAL_S:
            self._made_room_at = now
            self._close_idle()

    def _decide(self) -> Admission:
        waited_s = None
        if self._waiting:
            _, since = next(iter(self._waiting.values()))
            waited_s = self._clock() - since
        return decide_admission(
            ConnectionLoad(
                open_count=len(self._open),
                limit=self._limit(),
                spare=self._spare(),
                waited_s=waited_s,
            )
        )

    def _record_refusal(self) -> None:
        self._refused.inc()
        self._unlogged += 1
        now = self._clock()
        if now - self._logged_at < _LOG_INTERVAL_S:
            return
        self._events.emit(
            ProcessEvent.connections_refused,
            refused=self._unlogged,
            kind=self._kind,
            open=len(self._open),
            limit=self._limit(),
        )
        self._logged_at = now
        self._unlogged = 0
