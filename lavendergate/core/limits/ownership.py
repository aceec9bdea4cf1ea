"""Decides from when a proxy may grant the operations of a slot.

At most one proxy grants the operations of a slot at any time, although the
proxies learn of changes of the live proxies at different times.
"""

from dataclasses import dataclass, field

from lavendergate.core.limits.owners import ProxySet, SlotId

# Time after the sending of the last request that the control leader answered
# for which an owner may grant, in seconds. It is shorter than the 5 s after
# which the leader drops a silent proxy, and longer than a change of the leader
# takes to reach the proxies.
FENCE_S = 3.5
# Time after which no other proxy can still consider itself the owner, in
# seconds. The margin covers clocks whose rates differ.
TAKEOVER_S = FENCE_S + 0.2
# Time for which former sets of live proxies are kept, in seconds.
_HISTORY_S = 60.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Leadership:
    """Term of a control leader, and of the one before it.

    Parameters
    ----------
    term
        Term of the leader; 0 if it is not known.
    previous_term
        Newest earlier term in which a leader can have published live proxies.
    """

    term: int = 0
    previous_term: int = 0


UNKNOWN_LEADERSHIP = Leadership()


@dataclass(kw_only=True, slots=True)
class _View:
    """Live proxies as a control leader published them.

    Parameters
    ----------
    since
        When this proxy received them, in seconds.
    confirmed_at
        When the last request was sent whose answer confirmed them.
    """

    since: float
    confirmed_at: float
    source: str
    proxies: ProxySet


@dataclass(kw_only=True, slots=True)
class OwnershipView:
    """Live proxies as this proxy has known them for the last minute.

    All times are in seconds on a clock that also advances while the host is
    suspended.
    """

    own_address: str
    _views: list[_View] = field(default_factory=list)
    _term: int = 0

    @property
    def proxies(self) -> ProxySet:
        """Live proxies; empty before the first answer of a leader."""
        return self._views[-1].proxies if self._views else ProxySet(domains={})

    def confirm(
        self,
        sent_at: float,
        now: float,
        leadership: Leadership = UNKNOWN_LEADERSHIP,
    ) -> None:
        """Record an answer of the control leader.

        After a time without answers in which others may have become owners,
        the history starts anew.

        Parameters
        ----------
        sent_at
            When the request was sent.
        leadership
            Leader that answered.
        """
        if self._follow(leadership, now) and self._views:
            self._forget_lapsed(now)
            last = self._views[-1]
            last.confirmed_at = max(last.confirmed_at, sent_at)

    def replace(
        self,
        proxies: ProxySet,
        *,
        source: str,
        sent_at: float,
        now: float,
        leadership: Leadership = UNKNOWN_LEADERSHIP,
    ) -> None:
        """Record the live proxies of an answer of the control leader."""
        if not self._follow(leadership, now):
            return
        if self._views and self._views[-1].proxies == proxies:
            self.confirm(sent_at, now)
            self._views[-1].source = source
            return
        if self._views:
            self._forget_lapsed(now)
        # The answer does not confirm the former view: the leader may have
        # published the change to other proxies before this request was sent.
        self._views.append(
            _View(
                since=now, confirmed_at=sent_at, source=source, proxies=proxies
            )
        )
        while len(self._views) > 1 and self._views[1].since < now - _HISTORY_S:
            self._views.pop(0)

    def may_grant(self, now: float) -> bool:
        """Return whether the leader cannot have dropped this proxy yet."""
        return bool(self._views) and self._is_fresh(self._views[-1], now)

    def is_owner(self, slot: SlotId) -> bool:
        """Return whether this proxy is the owner of a slot at present."""
        return self.proxies.owner(slot) == self.own_address

    def owned_since(self, slot: SlotId) -> float | None:
        """Return since when this proxy has been the owner of a slot.

        None if it is not the owner.
        """
        return self._run_start(slot, self.own_address, len(self._views) - 1)

    def free_at(self, slot: SlotId) -> float | None:
        """Return when no other proxy can grant the slot's operations.

        None if this proxy is not the owner.

        Usually that is `TAKEOVER_S` after it became the owner. If the leader
        dropped the former owner, which is silent for longer than an owner may
        grant or is stopping, it is the time of that change.
        """
        newest = len(self._views) - 1
        owned_since = self._run_start(slot, self.own_address, newest)
        if owned_since is None:
            return None
        first = self._run_index(slot, self.own_address, newest)
        if first == 0:
            return owned_since + TAKEOVER_S
        view, former_view = self._views[first], self._views[first - 1]
        former = former_view.proxies.owner(slot)
        if (
            former is None
            or former in view.proxies
            or former_view.source != view.source
        ):
            return owned_since + TAKEOVER_S
        since = self._run_start(slot, former, first - 1)
        return max(owned_since, (since or 0) + TAKEOVER_S)

    def is_sole_owner(self, slot: SlotId, address: str, now: float) -> bool:
        """Return whether no other proxy than the given one can grant.

        True if it has been the owner in all answers for `TAKEOVER_S`.
        """
        since = self._run_start(slot, address, len(self._views) - 1)
        return (
            since is not None
            and self.may_grant(now)
            and now - since >= TAKEOVER_S
        )

    def recently_owned_since(self, slot: SlotId, now: float) -> float | None:
        """Return since when this proxy owned a slot that it can hand over.

        None if it cannot grant by any answer that it had. Otherwise no other
        proxy can have become the owner without it since that time. Before
        it, this proxy may have been out of contact and another one the owner.
        """
        for index in reversed(range(len(self._views))):
            since = self._run_start(slot, self.own_address, index)
            if since is not None and self._is_fresh(self._views[index], now):
                return since
        return None

    def predecessor(self, slot: SlotId) -> str | None:
        """Return the owner of a slot if this proxy were not live."""
        return self.proxies.without(self.own_address).owner(slot)

    def _follow(self, leadership: Leadership, now: float) -> bool:
        """Return whether the answer of a leader counts.

        Between two leaders whose answers this proxy got, a third one may have
        published other live proxies, so that another proxy became an owner.
        The history starts anew then, as after a time without answers.
        """
        if not leadership.term:
            return True
        if leadership.term < self._term:
            return False
        has_missed_leader = leadership.previous_term > self._term
        if has_missed_leader and self._term and self._views:
            self._forget_history(now)
        self._term = leadership.term
        return True

    def _forget_lapsed(self, now: float) -> None:
        if not self._is_fresh(self._views[-1], now):
            self._forget_history(now)

    def _forget_history(self, now: float) -> None:
        last = self._views[-1]
        last.since = now
        self._views = [last]

    def _is_fresh(self, view: _View, now: float) -> bool:
        return now - view.confirmed_at < FENCE_S

    def _run_index(self, slot: SlotId, address: str, newest: int) -> int:
        """Return the first of the consecutive views with the same owner."""
        first = newest
        while (
            first > 0 and self._views[first - 1].proxies.owner(slot) == address
        ):
            first -= 1
        return first

    def _run_start(
        self, slot: SlotId, address: str, newest: int
    ) -> float | None:
        if newest < 0 or self._views[newest].proxies.owner(slot) != address:
            return None
        return self._views[self._run_index(slot, address, newest)].since
