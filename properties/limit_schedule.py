"""Random schedules of proxies that own and borrow the limit of one customer.

Control leaders replace each other; proxies are frozen, restarted and cut off
from the leader or from each other. The decisions are those of
`lavendergate.core.limits`, and the live proxies those of the control leader's
directory.
"""

import random
from dataclasses import dataclass, field

from lavendergate.controllers.relays.directory import ProxyDirectory
from lavendergate.core.customers.table import CustomerName, OperationLimit
from lavendergate.core.limits.budget import Tolerance, divide
from lavendergate.core.limits.ledger import Declined, Granted, OwnerLedger
from lavendergate.core.limits.owners import SlotId, collect_proxies
from lavendergate.core.limits.ownership import Leadership, OwnershipView
from lavendergate.core.relays.homes import ProxyAddress
from lavendergate.core.types import FailureDomain
from lavendergate.rpc.fleet_service import RelayOffer
from properties.limit_window import most_in_window

LIMIT = OperationLimit(rate_per_s=12, burst=24)
TOLERANCE = Tolerance(window_s=5, slack=6)
_STEP_S = 0.05
LENGTH_S = 40
_LIFETIME_S = 5.0
# Time for which a replaced leader still answers as leader, and the time until
# a new one knows all live proxies, in seconds.
_STALE_LEADER_S = 1.0
_COUNT_DELAY_S = 1.5
# Time from an election to the commit of the leader's first entry, in seconds.
_FIRST_COMMIT_S = 0.3
_LONG_POLL_S = 0.6
# Share of the steps with a disturbance.
_DISTURBED = 0.015


@dataclass(kw_only=True)
class _Leader:
    source: str
    leadership: Leadership
    elected_at: float
    replaced_at: float = float('inf')
    directory: ProxyDirectory


@dataclass(kw_only=True)
class _Poll:
    leader: _Leader
    sent_at: float
    answered_at: float


@dataclass(kw_only=True)
class _Proxy:
    address: str
    domain: FailureDomain
    ledger: OwnerLedger
    leader: _Leader | None = None
    poll: _Poll | None = None
    known: dict[str, str] = field(default_factory=dict)
    source: str = ''
    version: int = 0
    absent_until: float = 0
    is_restarting: bool = False
    cut_off_until: float = 0
    isolated_until: float = 0


class LimitSchedule:
    """One random schedule.

    Attributes
    ----------
    ran_at
        When each operation ran, in seconds.
    granted_at
        When the operations of each slot were granted, in seconds.
    """

    def __init__(self, *, seed: int, proxies: int = 6) -> None:
        self.ran_at: list[float] = []
        self.granted_at: dict[SlotId, list[float]] = {}
        self._random = random.Random(seed)
        self._now = 0.0
        self._leaders: list[_Leader] = []
        self._leader = self._elect()
        self._proxies = {
            f'10.0.0.{number}:7440': self._make(number)
            for number in range(1, proxies + 1)
        }

    def run(self) -> None:
        """Play the schedule to its end."""
        resting_until = 0.0
        while self._now < LENGTH_S:
            self._now += _STEP_S
            self._disturb()
            for proxy in self._proxies.values():
                self._synchronise(proxy)
            if self._random.random() < 0.005:
                # Callers that rest let the buckets fill up.
                resting_until = self._now + self._random.uniform(1, 8)
            if self._now < resting_until:
                continue
            for _ in range(4):
                self._borrow(self._random.choice([*self._proxies.values()]))

    def excess(self) -> float:
        """Return the operations beyond what the rule allows in a window."""
        most = most_in_window(self.ran_at, TOLERANCE.window_s)
        return most - TOLERANCE.allowed(LIMIT)

    def slot_excess(self) -> float:
        """Return the operations beyond those of a single owner of a slot."""
        window_s = TOLERANCE.window_s
        limit = divide(LIMIT, TOLERANCE)
        most = max(
            most_in_window(times, window_s)
            for times in self.granted_at.values()
        )
        return most - limit.rate_per_s * window_s - limit.capacity

    def _make(self, number: int) -> _Proxy:
        address = f'10.0.0.{number}:7440'
        return _Proxy(
            address=address,
            domain=FailureDomain(f'domain-{number % 3}'),
            ledger=OwnerLedger(view=OwnershipView(own_address=address)),
        )

    def _elect(self) -> _Leader:
        # A leader that was replaced before its first entry was committed is
        # not in the log of its successors.
        known = [
            leader.leadership.term
            for leader in self._leaders
            if leader.replaced_at - leader.elected_at >= _FIRST_COMMIT_S
        ]
        elected = _Leader(
            source=f'leader-{self._now}',
            leadership=Leadership(
                term=len(self._leaders) + 1,
                previous_term=max(known, default=0),
            ),
            elected_at=self._now,
            directory=ProxyDirectory(
                clock=lambda: self._now, lifetime_s=_LIFETIME_S
            ),
        )
        self._leaders.append(elected)
        return elected

    def _disturb(self) -> None:
        if self._random.random() > _DISTURBED:
            return
        proxy = self._random.choice([*self._proxies.values()])
        until = self._now + self._random.choice((0.3, 2, 4, 8))
        match self._random.randrange(5):
            case 0:
                proxy.absent_until = until
            case 1:
                proxy.absent_until = until
                proxy.is_restarting = True
            case 2:
                proxy.cut_off_until = until
            case 3:
                proxy.isolated_until = until
            case 4:
                self._leader.replaced_at = self._now
                self._leader = self._elect()

    def _is_absent(self, proxy: _Proxy) -> bool:
        if proxy.absent_until > self._now:
            return True
        if proxy.is_restarting:
            fresh = self._make(int(proxy.address.split('.')[3].split(':')[0]))
            proxy.ledger = fresh.ledger
            proxy.known, proxy.poll = {}, None
            proxy.source, proxy.version = '', 0
            proxy.is_restarting = False
        return False

    def _synchronise(self, proxy: _Proxy) -> None:
        if self._is_absent(proxy):
            return
        poll = proxy.poll
        if poll is not None:
            if poll.answered_at <= self._now:
                proxy.poll = None
                self._answer(proxy, poll)
            return
        if proxy.cut_off_until > self._now:
            return
        if proxy.leader is None or (
            proxy.leader is not self._leader and self._random.random() < 0.1
        ):
            proxy.leader = self._leader
        leader = proxy.leader
        leader.directory.record(
            RelayOffer(
                address=proxy.address,
                failure_domain=proxy.domain,
                is_stopping=False,
                known_version=0,
            )
        )
        wait_s = self._random.uniform(0, _LONG_POLL_S)
        proxy.poll = _Poll(
            leader=leader, sent_at=self._now, answered_at=self._now + wait_s
        )

    def _answer(self, proxy: _Proxy, poll: _Poll) -> None:
        leader = poll.leader
        is_valid = self._now < leader.replaced_at + _STALE_LEADER_S
        if proxy.cut_off_until > self._now or not is_valid:
            return
        view = proxy.ledger.view
        view.confirm(poll.sent_at, self._now, leader.leadership)
        if self._now < leader.elected_at + _COUNT_DELAY_S:
            return
        changes = leader.directory.changes_since(
            proxy.version if proxy.source == leader.source else 0,
            is_complete=True,
        )
        if changes is None:
            return
        if proxy.source != leader.source:
            proxy.known = {}
        proxy.source, proxy.version = leader.source, changes.version
        for address in changes.gone:
            proxy.known.pop(address, None)
        for domain, addresses in changes.live.items():
            proxy.known.update(dict.fromkeys(addresses, domain))
        view.replace(
            collect_proxies(
                ProxyAddress(address=live, failure_domain=FailureDomain(domain))
                for live, domain in proxy.known.items()
            ),
            source=leader.source,
            sent_at=poll.sent_at,
            now=self._now,
            leadership=leader.leadership,
        )

    def _borrow(self, proxy: _Proxy) -> None:
        if self._is_absent(proxy):
            return
        slot = SlotId(
            customer=CustomerName('rounds'),
            number=self._random.randrange(TOLERANCE.owners),
        )
        wanted = self._random.randint(1, 4)
        owner = self._reach(proxy, proxy.ledger.proxies.owner(slot))
        if owner is None:
            return
        limit = divide(LIMIT, TOLERANCE)
        match owner.ledger.ask(slot, wanted, limit, self._now):
            case Granted(operations=operations):
                self.granted_at.setdefault(slot, []).extend(
                    [self._now] * operations
                )
                self.ran_at.extend(
                    self._now + self._random.uniform(0, limit.lease_s)
                    for _ in range(operations)
                )
            case Declined(predecessor=address) if address is not None:
                self._hand_over(owner, self._reach(owner, address), slot)

    def _hand_over(
        self, successor: _Proxy, predecessor: _Proxy | None, slot: SlotId
    ) -> None:
        if predecessor is None:
            return
        limit = divide(LIMIT, TOLERANCE)
        handover = predecessor.ledger.hand_over(
            slot, successor.address, limit, self._now
        )
        successor.ledger.take_over(
            slot, handover, limit, asked_at=self._now, now=self._now
        )

    def _reach(self, proxy: _Proxy, address: str | None) -> _Proxy | None:
        """Return another proxy, unless a message does not reach it."""
        other = self._proxies.get(address or '')
        if other is None or self._is_absent(other):
            return None
        is_cut = max(other.isolated_until, proxy.isolated_until) > self._now
        return None if is_cut and other is not proxy else other
