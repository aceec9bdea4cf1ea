"""Pace of the member of one link, with its events and metrics."""

from collections.abc import Callable

from lavendergate.core.fleet_directory import MemberEntry
from lavendergate.core.pace.member_pace import MemberPace, PaceReason
from lavendergate.core.pace.service_speed import ServiceSpeed
from lavendergate.core.sessions.statements import RefusalCode
from lavendergate.observability.exposition import HttpMetrics
from lavendergate.observability.log import EventLog
from lavendergate.observability.session_events import SessionEvent

# Number of announcements below which a member has just started.
_START_ANNOUNCEMENTS = 3
_FAILURE_CODES = frozenset((RefusalCode.failed, RefusalCode.timeout))
_MS_PER_S = 1000


class LinkPace:
    """Records the answers of a member, and logs changes of its pace.

    Parameters
    ----------
    entry
        The member when the link was created.
    clock
        Monotonic time, in seconds.
    """

    def __init__(
        self,
        *,
        entry: MemberEntry,
        clock: Callable[[], float],
        events: EventLog,
        metrics: HttpMetrics,
    ) -> None:
        self._entry = entry
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._pace = MemberPace()

    @property
    def speed(self) -> ServiceSpeed:
        """Service time of the member's reads."""
        return self._pace.speed

    @property
    def fraction(self) -> float:
        """Fraction of its slots that the member can use at present."""
        return self._pace.pace_at(self._clock())

    @property
    def error_share(self) -> float:
        """Share of statements that failed lately, from 0 to 1."""
        return self._pace.error_share_at(self._clock())

    def may_take_read(self) -> bool:
        """Return whether the next read may go to the member."""
        return self._pace.may_take_read(self._clock())

    def limit(self, entry: MemberEntry, share: int | None) -> int | None:
        """Return the number of statements in flight; None for no limit."""
        limit = self._pace.limit(
            entry.slots, self._clock(), is_primary=entry.is_primary
        )
        if limit is None or share is None:
            return share if limit is None else limit
        return min(share, limit)

    def start(self) -> None:
        """Begin at a low pace if the member's announcements are its first."""
        if self._entry.sequence < _START_ANNOUNCEMENTS:
            self.restart(PaceReason.started)

    def restart(self, reason: PaceReason) -> None:
        """Begin at a low pace, after a start, a recovery or a promotion."""
        self._pace.restart(reason, self._clock())
        self._report()

    def record_answer(
        self,
        code: RefusalCode | None,
        duration_s: float,
        *,
        is_relayed: bool,
        is_read: bool,
    ) -> None:
        """Record an answer of the member.

        Parameters
        ----------
        code
            Code of the refusal; None if the statement completed.
        is_relayed
            Whether a home ran the statement. Its latency and its lack of room
            are those of the home.
        is_read
            Whether it is a read outside of transactions.
        """
        has_failed = code in _FAILURE_CODES or (
            code == RefusalCode.busy and not is_relayed
        )
        has_speed = is_read and code is None and not is_relayed
        self._pace.record_answer(
            self._clock(),
            has_failed=has_failed,
            read_s=duration_s if has_speed else None,
        )
        self._report()

    def compare(self, peers: tuple[ServiceSpeed, ...]) -> None:
        """Limit the pace of a member that is slower than its peers."""
        self._pace.compare(peers, self._clock())
        self._report()

    def _report(self) -> None:
        change = self._pace.pop_change(self._clock())
        if change is None:
            return
        entry = self._entry
        self._metrics.member_pace.labels(entry.upstream_id).set(change.pace)
        if change.pace < 1:
            self._events.emit(
                SessionEvent.pace_reduced,
                upstream=entry.upstream_id,
                service=entry.service,
                percent=round(100 * change.pace),
                reason=change.reason.value,
                error_percent=round(100 * self.error_share),
            )
        else:
            self._events.emit(
                SessionEvent.pace_restored,
                upstream=entry.upstream_id,
                service=entry.service,
                reduced_ms=round(change.duration_s * _MS_PER_S),
                reason=change.reason.value,
            )
