"""Ways to find the pace of a member, as `benchmarks.member_pace` plays them."""

from dataclasses import dataclass, field

from lavendergate.core.pace.member_pace import MemberPace, PaceReason

# Mean time of a read at a member, in seconds.
SERVICE_S = 0.03
_LATENCY_WEIGHT = 0.2


@dataclass(kw_only=True)
class Link:
    """What one proxy knows of one member; today's rule.

    The ways to find the pace are its subclasses.
    """

    latency_s: float = SERVICE_S
    in_flight: int = 0
    is_suspect: bool = False

    def answered(self, now: float, latency_s: float, *, ok: bool) -> None:
        """Record an answer."""
        self.latency_s += _LATENCY_WEIGHT * (latency_s - self.latency_s)

    def recovered(self, now: float) -> None:
        """Record the first answer after a loss."""

    def compare(self, peers: list['Link'], now: float) -> None:
        """Compare the member with its peers."""

    def pace(self, now: float) -> float:
        """Return the fraction of slots that the member can use."""
        return 1

    def error_share(self, now: float) -> float:
        """Return the share of failed reads."""
        return 0

    def may_take(self, now: float) -> bool:
        """Return whether the next read may go to the member."""
        return True


@dataclass(kw_only=True)
class CreditLink(Link):
    """Base of the ways that send a member a fraction of the reads."""

    credit: float = 0

    def may_take(self, now: float) -> bool:
        """Return whether the next read may go to the member."""
        pace = self.pace(now)
        self.credit = 0 if pace >= 1 else self.credit + pace
        if pace < 1 and self.credit < 1:
            return False
        self.credit = max(0, self.credit - 1)
        return True


@dataclass(kw_only=True)
class FixedRamp(CreditLink):
    """Pace that grows evenly in 3 s after a recovery."""

    started_at: float = float('-inf')

    def recovered(self, now: float) -> None:
        """Begin the ramp."""
        self.started_at = now

    def pace(self, now: float) -> float:
        """Return the fraction of the ramp that has passed."""
        return min(1, max(1 / 16, (now - self.started_at) / 3))


@dataclass(kw_only=True)
class LatencyAimd(CreditLink):
    """Pace that halves at twice the peers' latency, or else grows by 5%."""

    value: float = 1
    cut_at: float = float('-inf')
    peer_s: float = SERVICE_S

    def recovered(self, now: float) -> None:
        """Begin low."""
        self.value = 0.25

    def compare(self, peers: list[Link], now: float) -> None:
        """Note the latency of the fastest peer."""
        self.peer_s = min(peer.latency_s for peer in peers)

    def answered(self, now: float, latency_s: float, *, ok: bool) -> None:
        """Halve or raise the pace."""
        super().answered(now, latency_s, ok=ok)
        if ok and self.latency_s < 2 * self.peer_s:
            self.value = min(1, self.value + 0.05)
        elif now - self.cut_at > 0.1:
            self.value = max(1 / 16, self.value / 2)
            self.cut_at = now

    def pace(self, now: float) -> float:
        """Return the present value."""
        return self.value


@dataclass(kw_only=True)
class Probing(Link):
    """One read at a time after a loss or failure, until five are good."""

    missing: int = 0

    def recovered(self, now: float) -> None:
        """Begin to probe."""
        self.missing = 5

    def answered(self, now: float, latency_s: float, *, ok: bool) -> None:
        """Count the good reads."""
        super().answered(now, latency_s, ok=ok)
        self.missing = max(0, self.missing - 1) if ok else 5

    def may_take(self, now: float) -> bool:
        """Return whether no other probe is in flight."""
        return not (self.missing and self.in_flight)


@dataclass(kw_only=True)
class Chosen(Link):
    """`core.pace`: grows with answers and time, compared with its peers."""

    model: MemberPace = field(default_factory=MemberPace)

    def recovered(self, now: float) -> None:
        """Begin low."""
        self.model.restart(PaceReason.recovered, now)

    def answered(self, now: float, latency_s: float, *, ok: bool) -> None:
        """Record an answer."""
        super().answered(now, latency_s, ok=ok)
        read_s = latency_s if ok else None
        self.model.record_answer(now, has_failed=not ok, read_s=read_s)

    def compare(self, peers: list[Link], now: float) -> None:
        """Compare the member with its peers."""
        speeds = (
            peer.model.speed for peer in peers if isinstance(peer, Chosen)
        )
        self.model.compare(tuple(speeds), now)

    def pace(self, now: float) -> float:
        """Return the pace of the model."""
        return self.model.pace_at(now)

    def error_share(self, now: float) -> float:
        """Return the error share of the model."""
        return self.model.error_share_at(now)

    def may_take(self, now: float) -> bool:
        """Return whether the next read may go to the member."""
        return self.model.may_take_read(now)


WAYS: tuple[tuple[str, type[Link]], ...] = (
    ("today's rule", Link),
    ('fixed ramp of 3 s', FixedRamp),
    ('AIMD on latency', LatencyAimd),
    ('probing with reads', Probing),
    ('gradient, seeded (chosen)', Chosen),
)
