"""Random schedules of proxies that share the connections of a member."""

import random
import unittest
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field, replace

from lavendergate.core.share_division import (
    DivisionRule,
    divide_by_demand,
    divide_equally,
    divide_kalai_smorodinsky,
)
from lavendergate.core.shares import (
    LEASE_S,
    MemberShares,
    ShareReport,
    assign_grants,
    is_freed,
    lapsed_hosts,
    needs_check,
    record_connection_list,
    record_heartbeat,
    register_proxy,
    remove_proxies,
)
from lavendergate.core.types import HostId

SCHEDULES = 10_000
LIMIT = 8
STEP_S = 0.25
STEPS = 60
WORKERS = 5
RULES: tuple[DivisionRule, ...] = (
    divide_equally,
    divide_by_demand,
    divide_kalai_smorodinsky,
)


@dataclass(kw_only=True, slots=True)
class Proxy:
    """Model of a proxy as docs/design.md describes it.

    Times are in seconds.

    Parameters
    ----------
    wanted
        Number of connections that the proxy needs.
    opened
        Number of its open connections.
    granted
        Number of connections that it may open until its lease ends.
    reserved
        Number of connections that it may open without a lease.
    closed_at
        Time at which control closed its connections.
    paused_until
        The proxy does nothing before this time.
    cut_off_until
        The proxy does not reach control before this time; its connections to
        the member stay open.
    """

    name: HostId
    wanted: int
    opened: int = 0
    granted: int = 0
    reserved: int = 0
    lease_until: float = -1
    closed_at: float = -9
    is_dead: bool = False
    paused_until: float = 0
    cut_off_until: float = 0

    def allowed_connections(self, now: float) -> int:
        return self.granted if now < self.lease_until else self.reserved

    def open_connections(self, now: float) -> None:
        if self.is_dead or now < self.paused_until:
            return
        has_lease = now < self.lease_until
        if not has_lease and not self.opened and now - self.closed_at > 1:
            self.reserved = 0  # given up: not reopened within 1 s
        allowed = self.allowed_connections(now)
        if has_lease:
            self.opened = min(self.opened, allowed)
        if self.opened < allowed:
            self.opened = max(self.opened, min(allowed, self.wanted))

    def close_connections(self, now: float) -> None:
        if self.opened:
            self.opened = 0
            self.closed_at = now


@dataclass(kw_only=True, slots=True)
class Schedule:
    """One random schedule of the shares of one member.

    Parameters
    ----------
    ignores_bounds
        Deliberate fault: the bounds of other proxies are lowered to their last
        grants, although these may not have arrived.
    trusts_lease_end
        Deliberate fault: a share is reclaimed at the end of its lease although
        connections may still be open.
    forgets_wait
        Deliberate fault: a new leader grants connections without waiting for
        the leases of its predecessor to end.
    registered
        Proxies that a new leader registers.
    freed_after
        Seconds from the death of each proxy until its share was free.
    most_open
        Greatest number of connections that were open at once.
    """

    seed: int
    ignores_bounds: bool = False
    trusts_lease_end: bool = False
    forgets_wait: bool = False
    now: float = 0
    proxies: list[Proxy] = field(default_factory=list)
    registered: set[HostId] = field(default_factory=set)
    died_at: dict[HostId, float] = field(default_factory=dict)
    freed_after: list[float] = field(default_factory=list)
    most_open: int = 0

    def run(self) -> None:
        source = random.Random(self.seed)
        rule = source.choice(RULES)
        shares = self.new_leader()
        for _ in range(STEPS):
            self.now += STEP_S
            if source.random() < 0.02:
                shares = self.new_leader()
            self.inject_faults(source)
            for proxy in self.proxies:
                proxy.open_connections(self.now)
                self.count_open()
                if self.reaches_control(proxy):
                    shares = self.heartbeat(shares, proxy, rule, source)
                proxy.open_connections(self.now)
                self.count_open()
            shares = self.reclaim(shares, rule)

    def new_leader(self) -> MemberShares:
        shares = MemberShares(limit=LIMIT, slots=2, started_at=self.now)
        if self.forgets_wait:
            shares = replace(shares, started_at=-9, is_checked=True)
            return shares
        for name in sorted(self.registered):
            shares = register_proxy(shares, name, self.now)
        return shares

    def inject_faults(self, source: random.Random) -> None:
        if source.random() < 0.15 and len(self.proxies) < 9:
            name = HostId(f'proxy-{len(self.proxies)}')
            self.proxies.append(Proxy(name=name, wanted=source.randrange(9)))
        for proxy in self.proxies:
            chance = source.random()
            if chance < 0.01 and not proxy.is_dead:
                proxy.is_dead = True
                self.died_at[proxy.name] = self.now
            elif chance < 0.03:
                proxy.paused_until = self.now + source.uniform(0, 9)
            elif chance < 0.05:
                proxy.cut_off_until = self.now + source.uniform(0, 9)
            elif chance < 0.15:
                proxy.wanted = source.randrange(9)

    def reaches_control(self, proxy: Proxy) -> bool:
        until = max(proxy.paused_until, proxy.cut_off_until)
        return not proxy.is_dead and self.now >= until

    def heartbeat(
        self,
        shares: MemberShares,
        proxy: Proxy,
        rule: DivisionRule,
        source: random.Random,
    ) -> MemberShares:
        if source.random() < 0.05:
            return shares  # the request is lost
        self.registered.add(proxy.name)
        report = ShareReport(
            opened=proxy.opened,
            wanted=proxy.wanted,
            granted=proxy.allowed_connections(self.now),
        )
        shares = record_heartbeat(shares, proxy.name, report, self.now)
        if self.ignores_bounds:
            shares = self.lower_bounds(shares, proxy.name)
        shares = assign_grants(shares, rule, self.now)
        if source.random() < 0.05:
            return shares  # the reply is lost
        holder = shares.holders[proxy.name]
        proxy.granted = holder.granted
        proxy.reserved = min(shares.reserved, holder.granted)
        proxy.lease_until = self.now + LEASE_S
        return shares

    def lower_bounds(self, shares: MemberShares, own: HostId) -> MemberShares:
        holders = {
            name: holder
            if name == own
            else replace(holder, bound=holder.granted)
            for name, holder in shares.holders.items()
        }
        return replace(shares, holders=holders)

    def reclaim(self, shares: MemberShares, rule: DivisionRule) -> MemberShares:
        if needs_check(shares, self.now):
            shares = self.check_connections(shares)
            for proxy in self.proxies:
                if proxy.name in lapsed_hosts(shares, self.now):
                    if not self.trusts_lease_end:
                        proxy.close_connections(self.now)
            shares = self.check_connections(shares)
        for name in list(shares.holders):
            if is_freed(shares, name) and name in self.died_at:
                shares = remove_proxies(shares, [name])
                self.registered.discard(name)
                self.freed_after.append(self.now - self.died_at.pop(name))
        return assign_grants(shares, rule, self.now)

    def check_connections(self, shares: MemberShares) -> MemberShares:
        counts = {
            proxy.name: proxy.opened
            for proxy in self.proxies
            if proxy.opened and not self.trusts_lease_end
        }
        return record_connection_list(shares, counts, self.now, self.now)

    def count_open(self) -> None:
        opened = sum(proxy.opened for proxy in self.proxies)
        self.most_open = max(self.most_open, opened)


def run_schedule(seed: int) -> tuple[int, int]:
    """Return the maximum of open connections and the number of freed hosts."""
    schedule = Schedule(seed=seed)
    schedule.run()
    return schedule.most_open, len(schedule.freed_after)


class ShareScheduleTest(unittest.TestCase):
    """Proxies keep within the connection limit in random schedules."""

    def test_limit_is_never_passed(self) -> None:
        """Guards against grants of connections that others may have open."""
        freed = 0
        with ProcessPoolExecutor(WORKERS) as workers:
            results = workers.map(run_schedule, range(SCHEDULES), chunksize=100)
            for seed, (most_open, freed_hosts) in enumerate(results):
                self.assertLess(most_open, LIMIT, f'seed {seed}')
                freed += freed_hosts
        self.assertGreater(freed, SCHEDULES / 10)

    def test_share_of_a_dead_proxy_is_in_use_again(self) -> None:
        """Guards against a share that stays reserved after its proxy died."""
        for seed in range(200):
            first = Proxy(name=HostId('first'), wanted=7)
            second = Proxy(name=HostId('second'), wanted=7)
            schedule = Schedule(seed=seed, proxies=[first, second])
            source = random.Random(seed)
            shares = schedule.new_leader()
            died_at = 10 + source.random()
            while second.opened < 6 or not first.is_dead:
                schedule.now += STEP_S
                self.assertLess(schedule.now, died_at + 10, f'seed {seed}')
                first.is_dead = schedule.now >= died_at
                for proxy in schedule.proxies:
                    if not proxy.is_dead:
                        shares = schedule.heartbeat(
                            shares, proxy, divide_by_demand, source
                        )
                        proxy.open_connections(schedule.now)
                shares = schedule.reclaim(shares, divide_by_demand)

    def test_deliberate_faults_are_found(self) -> None:
        """Guards against schedules in which no fault exceeds the limit."""
        for fault in ('ignores_bounds', 'trusts_lease_end', 'forgets_wait'):
            found = False
            for seed in range(500):
                schedule = Schedule(seed=seed)
                setattr(schedule, fault, True)
                schedule.run()
                found = schedule.most_open >= LIMIT
                if found:
                    break
            self.assertTrue(found, fault)
