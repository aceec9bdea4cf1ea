"""Random histories of sessions, proxies and failovers, checked at each step.

One event is one step of a request, of replication, of control or of the
network. A request is a sequence of events, so steps of different requests
and failovers interleave.
"""

from lavendergate.core.errors import Outcome
from properties.group_model import MEMBERS
from properties.history_model import Proxy
from properties.read_model import ReadSteps
from properties.write_model import WriteSteps


class StatementModel(WriteSteps, ReadSteps):
    """One random history and its checks."""

    @property
    def acknowledged_writes(self) -> int:
        """Number of writes that were acknowledged."""
        return len(self._acknowledged)

    @property
    def term(self) -> int:
        """Last term with a confirmed primary."""
        return self._group.term

    def run(self, steps: int, *, stops: bool = True) -> list[str]:
        """Run the history, up to the first violation if `stops`."""
        events = (
            (self._offer_write, 4),
            (self._start_writes, 5),
            (self._confirm, 6),
            (self._expire_queued, 1),
            (self._repeat_request, 1),
            (self._abandon_transaction, 1),
            (self._read_session, 5),
            (self._read_fresh, 4),
            (self._read_bounded, 3),
            (self._answer_question, 4),
            (self._abandon_round, 0.5),
            (self._end_wait, 6),
            (self._expire_write, 1),
            (self._replicate, 8),
            (self._observe, 3),
            (self._refresh, 4),
            (self._control, 6),
            (self._begin_term, 0.2),
            (self._partition, 0.3),
            (self._heal, 0.25),
        )
        handlers = [handler for handler, _ in events]
        weights = [weight for _, weight in events]
        for handler in self._random.choices(handlers, weights, k=steps):
            self._now += self._random.choice((0.001, 0.01, 0.05))
            handler(self._random.choice(self._proxies))
            if stops and self.violations:
                return self.violations
        self._check_end()
        return self.violations

    def _replicate(self, _: Proxy) -> None:
        name = self._random.choice(MEMBERS)
        self._group.replicate(name, self._random.randrange(1, 9), self._now)

    def _observe(self, _: Proxy) -> None:
        self._group.observe(self._random.choice(MEMBERS), self._now)

    def _refresh(self, proxy: Proxy) -> None:
        if proxy.side == 0:
            proxy.view = self._group.view()

    def _control(self, _: Proxy) -> None:
        # Replicas learn late of the new primary, which widens the time in
        # which they may follow the old one.
        if self._group.primary is None or self._random.random() < 0.2:
            self._group.advance(self._random.choice(MEMBERS))

    def _begin_term(self, _: Proxy) -> None:
        self._group.begin()

    def _partition(self, _: Proxy) -> None:
        isolated = self._random.choice((MEMBERS[0], *MEMBERS))
        if self._group.primary is not None and self._random.random() < 0.5:
            isolated = self._group.primary
        self._group.members[isolated].side = 1
        for proxy in self._proxies:
            proxy.side = self._random.randrange(2)

    def _heal(self, _: Proxy) -> None:
        for member in self._group.members.values():
            member.side = 0
        for proxy in self._proxies:
            proxy.side = 0

    def _check_end(self) -> None:
        self._heal(self._proxies[0])
        while self._group.primary is None:
            self._group.begin()
            for name in MEMBERS:
                self._group.advance(name)
        primary = self._group.members[self._group.primary]
        ids = [one.write_id for one in primary.log if one.write_id is not None]
        if self._acknowledged.keys() - set(ids):
            self._report('I10: an acknowledged write is lost')
        if len(ids) > len(set(ids)):
            self._report('I10: a write is doubled')
        requests = [one.request_id for one in primary.log if one.request_id]
        if len(requests) > len(set(requests)):
            self._report('I6: a request ran twice')
        for write in self._writes:
            ran = self._executed.get(write.write_id, 0)
            if write.outcome is Outcome.not_run and ran:
                self._report('I5: a statement ran that was refused as not run')
