"""Random histories of sessions, proxies and failovers, checked at each step.

Each event is one step of a request, of replication, of control or of the
network. A request takes several events, so the steps of different requests and
of failovers interleave.
"""

from lavendergate.core.errors import Outcome
from properties.group_model import MEMBERS
from properties.history_model import Proxy
from properties.read_model import ReadSteps
from properties.write_model import WriteSteps


class StatementModel(WriteSteps, ReadSteps):
    """One random history and the checks of its invariants."""

    @property
    def acknowledged_writes(self) -> int:
        """Number of writes that were acknowledged."""
        return len(self._acknowledged_at)

    @property
    def term(self) -> int:
        """Last term with a confirmed primary."""
        return self._group.term

    def run(self, steps: int, *, stop_at_violation: bool = True) -> list[str]:
        """Run the history and return the violations.

        Parameters
        ----------
        steps
            Number of random events.
        stop_at_violation
            Whether to end the history at the first violation.
        """
        events = (
            (self._offer_write, 4),
            (self._start_writes, 5),
            (self._start_confirmation, 6),
            (self._expire_queued, 1),
            (self._resend_request, 1),
            (self._abandon_transaction, 1),
            (self._read_session, 5),
            (self._read_fresh, 4),
            (self._read_bounded, 3),
            (self._answer_index_request, 4),
            (self._abandon_round, 0.5),
            (self._end_wait, 6),
            (self._expire_write, 1),
            (self._replicate, 8),
            (self._deliver_announcement, 3),
            (self._refresh_view, 4),
            (self._run_control_step, 6),
            (self._begin_term, 0.2),
            (self._start_partition, 0.3),
            (self._end_partition, 0.25),
        )
        handlers = [handler for handler, _ in events]
        weights = [weight for _, weight in events]
        for handler in self._random.choices(handlers, weights, k=steps):
            self._now += self._random.choice((0.001, 0.01, 0.05))
            handler(self._random.choice(self._proxies))
            if stop_at_violation and self.violations:
                return self.violations
        self._check_final_state()
        return self.violations

    def _replicate(self, _: Proxy) -> None:
        name = self._random.choice(MEMBERS)
        self._group.replicate(name, self._random.randrange(1, 9), self._now)

    def _deliver_announcement(self, _: Proxy) -> None:
        self._group.deliver_announcement(
            self._random.choice(MEMBERS), self._now
        )

    def _refresh_view(self, proxy: Proxy) -> None:
        if proxy.partition_side == 0:
            proxy.view = self._group.view()

    def _run_control_step(self, _: Proxy) -> None:
        # Skipping most steps while there is a primary delays the news of it to
        # the replicas, so that they may follow the old one for longer.
        if self._group.primary is None or self._random.random() < 0.2:
            self._group.run_control_step(self._random.choice(MEMBERS))

    def _begin_term(self, _: Proxy) -> None:
        self._group.begin_term()

    def _start_partition(self, _: Proxy) -> None:
        isolated = self._random.choice((MEMBERS[0], *MEMBERS))
        if self._group.primary is not None and self._random.random() < 0.5:
            isolated = self._group.primary
        self._group.members[isolated].partition_side = 1
        for proxy in self._proxies:
            proxy.partition_side = self._random.randrange(2)

    def _end_partition(self, _: Proxy) -> None:
        for member in self._group.members.values():
            member.partition_side = 0
        for proxy in self._proxies:
            proxy.partition_side = 0

    def _check_final_state(self) -> None:
        self._end_partition(self._proxies[0])
        while self._group.primary is None:
            self._group.begin_term()
            for name in MEMBERS:
                self._group.run_control_step(name)
        primary = self._group.members[self._group.primary]
        ids = [
            entry.write_id
            for entry in primary.log
            if entry.write_id is not None
        ]
        if self._acknowledged_at.keys() - set(ids):
            self._report_violation('I10: an acknowledged write is lost')
        if len(ids) > len(set(ids)):
            self._report_violation('I10: a write is doubled')
        requests = [
            entry.request_id for entry in primary.log if entry.request_id
        ]
        if len(requests) > len(set(requests)):
            self._report_violation('I6: a request ran twice')
        for write in self._writes:
            ran = self._execution_counts.get(write.write_id, 0)
            if write.outcome is Outcome.not_run and ran:
                self._report_violation(
                    'I5: a statement ran that was refused as not run'
                )
