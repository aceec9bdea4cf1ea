"""Buckets of an owner proxy, and how they pass from owner to owner."""

from dataclasses import dataclass, field

from lavendergate.core.limits.bucket import TokenBucket
from lavendergate.core.limits.budget import OwnerLimit
from lavendergate.core.limits.owners import ProxySet, SlotId
from lavendergate.core.limits.ownership import TAKEOVER_S, OwnershipView

_NEVER = float('-inf')


@dataclass(frozen=True, kw_only=True, slots=True)
class Granted:
    """Operations that an owner granted; at least one."""

    operations: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Exhausted:
    """The limit is reached.

    Parameters
    ----------
    retry_after_s
        Time until the owner can grant an operation, in seconds.
    """

    retry_after_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Declined:
    """The proxy may not grant operations of the slot.

    Parameters
    ----------
    predecessor
        Proxy that may still be the owner and can hand over its operations;
        None if there is none or this proxy is not the owner.
    """

    predecessor: str | None = None


Decision = Granted | Exhausted | Declined


@dataclass(frozen=True, kw_only=True, slots=True)
class HandedOver:
    """Operations that a former owner left, which it grants no more.

    Parameters
    ----------
    tokens
        Operations that may be granted at once.
    """

    tokens: float


@dataclass(frozen=True, kw_only=True, slots=True)
class NoOtherOwner:
    """No other proxy than the one that asks can grant operations."""


@dataclass(frozen=True, kw_only=True, slots=True)
class UnknownOwner:
    """Another proxy may still grant operations."""


Handover = HandedOver | NoOtherOwner | UnknownOwner


@dataclass(kw_only=True, slots=True)
class _Slot:
    """State of one slot that this proxy owns or owned.

    Parameters
    ----------
    bucket
        Operations that may be granted.
    used_at
        When the bucket was last used while this proxy was the owner.
    """

    bucket: TokenBucket
    used_at: float


@dataclass(kw_only=True, slots=True)
class OwnerLedger:
    """What one proxy may grant to all proxies.

    Times are in seconds on a clock that also advances while the host is
    suspended.

    Parameters
    ----------
    view
        Live proxies as this proxy has known them.
    is_stopping
        Whether the proxy grants no more operations.
    """

    view: OwnershipView
    is_stopping: bool = False
    _slots: dict[SlotId, _Slot] = field(default_factory=dict)
    _handed_over_at: dict[SlotId, float] = field(default_factory=dict)

    @property
    def proxies(self) -> ProxySet:
        """Live proxies at present."""
        return self.view.proxies

    def ask(
        self, slot: SlotId, wanted: int, limit: OwnerLimit, now: float
    ) -> Decision:
        """Decide how many of the wanted operations are granted."""
        if self.is_stopping or not self.view.may_grant(now):
            return Declined()
        bucket = self._find_bucket(slot, limit, now)
        if bucket is None:
            if not self.view.is_owner(slot):
                return Declined()
            return Declined(predecessor=self.view.predecessor(slot))
        granted = bucket.take(wanted, now)
        if granted:
            return Granted(operations=granted)
        return Exhausted(retry_after_s=bucket.retry_after_s(now))

    def hand_over(
        self, slot: SlotId, successor: str, limit: OwnerLimit, now: float
    ) -> Handover:
        """Hand a slot over to a proxy that considers itself the owner."""
        if self.view.is_owner(slot) and not self.is_stopping:
            # Proxies with the view of this one would confirm, after a restart
            # of it, that nobody else can grant. It hands over once it sees the
            # change itself.
            if self._find_bucket(slot, limit, now) is None:
                # Neither of the two may count on the time before.
                self._handed_over_at[slot] = now
            return UnknownOwner()
        kept = self._slots.get(slot)
        owned_since = self.view.recently_owned_since(slot, now)
        if (
            kept is not None
            and owned_since is not None
            and (kept.used_at >= owned_since)
        ):
            self._slots.pop(slot)
            self._handed_over_at[slot] = now
            kept.bucket.change(limit, now)
            kept.bucket.refill(now)
            return HandedOver(tokens=kept.bucket.tokens)
        if self.view.is_sole_owner(slot, successor, now):
            return NoOtherOwner()
        return UnknownOwner()

    def take_over(
        self,
        slot: SlotId,
        handover: Handover,
        limit: OwnerLimit,
        *,
        asked_at: float,
        now: float,
    ) -> None:
        """Record the answer of a predecessor.

        Parameters
        ----------
        asked_at
            When the predecessor was asked.
        """
        since = self.view.owned_since(slot)
        if since is None or since > asked_at or slot in self._slots:
            # The owner changed meanwhile; what was handed over is lost.
            return
        match handover:
            case HandedOver(tokens=tokens):
                self._keep(slot, min(tokens, limit.capacity), limit, now)
            case NoOtherOwner():
                # The predecessor does not know of a handover by this proxy.
                handed_over_at = self._handed_over_at.get(slot, _NEVER)
                if now - handed_over_at >= TAKEOVER_S:
                    self._keep(slot, 0, limit, now)
            case UnknownOwner():
                return

    def _find_bucket(
        self, slot: SlotId, limit: OwnerLimit, now: float
    ) -> TokenBucket | None:
        """Return the bucket of a slot; None if it may not be granted from."""
        owned_since = self.view.owned_since(slot)
        if owned_since is None or not self.view.may_grant(now):
            return None
        kept = self._slots.get(slot)
        if kept is not None and kept.used_at >= owned_since:
            kept.bucket.change(limit, now)
            kept.used_at = now
            return kept.bucket
        self._slots.pop(slot, None)
        free_at = self.view.free_at(slot)
        handed_over_at = self._handed_over_at.get(slot, _NEVER)
        free_at = max(free_at or now, handed_over_at + TAKEOVER_S)
        if free_at > now:
            return None
        # Nobody has granted anything since `free_at`, so the bucket holds the
        # refill of that time.
        bucket = TokenBucket(limit=limit, filled_at=free_at)
        bucket.refill(now)
        self._slots[slot] = _Slot(bucket=bucket, used_at=now)
        return bucket

    def _keep(
        self, slot: SlotId, tokens: float, limit: OwnerLimit, now: float
    ) -> None:
        bucket = TokenBucket(limit=limit, filled_at=now, tokens=tokens)
        self._slots[slot] = _Slot(bucket=bucket, used_at=now)
