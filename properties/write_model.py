"""Steps of writes in a random history."""

from lavendergate.core.admission import (
    AdmissionRequest,
    QueueClass,
)
from lavendergate.core.confirmation import (
    ConfirmationEffect,
    StartWait,
    WaitResult,
    WriteConfirmations,
    WriteId,
    WritesConfirmed,
    WritesUnknown,
)
from lavendergate.core.decisions import (
    UsePrimary,
    WriteRequest,
)
from lavendergate.core.errors import Outcome
from lavendergate.core.retries import Failure
from lavendergate.core.types import (
    CallerId,
    MemberRole,
    UpstreamId,
)
from properties.group_model import Entry
from properties.history_model import History, Proxy, Session, Write

_MAX_ATTEMPTS = 3


class WriteSteps(History):
    """Steps of a write from admission to its outcome."""

    def _offer_write(self, proxy: Proxy) -> None:
        write_id = self._new_id()
        has_request_id = self._random.random() < 0.5
        self._queue_write(
            proxy,
            self._random.choice(self._sessions),
            write_id if has_request_id else None,
        )

    def _queue_write(
        self,
        proxy: Proxy,
        session: Session,
        request_id: int | None,
    ) -> None:
        admission = AdmissionRequest(
            caller_id=CallerId('tablet'),
            queue_class=QueueClass.write,
            needs_primary=True,
            deadline=self._now + 0.5,
        )
        write = Write(
            write_id=self._new_id(),
            request_id=request_id,
            session=session,
            admission=admission,
        )
        self._writes.append(write)
        offered = proxy.queue.enqueue(admission, self._now)
        if offered.is_err():
            write.outcome = Outcome.not_run
            return
        proxy.queued[admission] = write

    def _expire_queued(self, proxy: Proxy) -> None:
        for admission, write in tuple(proxy.queued.items()):
            if admission.deadline <= self._now:
                write.outcome = Outcome.not_run
                self._decisions.withdraw_expired(proxy.queue, admission)
                if self._decisions.withdraws_expired:
                    proxy.queued.pop(admission)

    def _start_writes(self, proxy: Proxy) -> None:
        for admission in proxy.queue.start_queued(self._now, lambda _: True):
            write = proxy.queued.pop(admission)
            self._execute(proxy, write)
            proxy.queue.finish(admission, self._now)

    def _execute(self, proxy: Proxy, write: Write) -> None:
        for _ in range(_MAX_ATTEMPTS):
            failure = self._attempt(proxy, write)
            if failure is None:
                proxy.executed.append(write)
                return
            write.outcome = self._decisions.outcome(failure)
            if not self._decisions.may_retry(failure):
                return

    def _attempt(self, proxy: Proxy, write: Write) -> Failure | None:
        decision = self._route(proxy, WriteRequest())
        if not isinstance(decision, UsePrimary):
            return Failure.not_sent
        member = self._group.members[decision.upstream_id]
        pool = proxy.pools[decision.upstream_id]
        if member.partition_side != proxy.partition_side or not pool.start(
            write.write_id, self._now
        ):
            return Failure.not_sent
        is_answered = self._random.random() < 0.85
        is_executed = is_answered or self._random.random() < 0.7
        is_primary = member.role is MemberRole.primary
        if is_executed and is_primary:
            self._append_entry(decision.upstream_id, write)
        pool.exchange(write.write_id, answered=is_answered)
        pool.end(
            write.write_id,
            self._now,
            answered=is_answered,
            committed=True,
        )
        if not is_answered:
            return Failure.lost_answer
        if not is_primary:
            return Failure.refused
        write.position = member.last_entry
        write.executed_on = decision.upstream_id
        proxy.known[decision.upstream_id] = member.last_entry
        return None

    def _append_entry(self, name: UpstreamId, write: Write) -> None:
        member = self._group.members[name]
        request_id = write.request_id
        recorded = [
            entry.write_id
            for entry in member.log
            if request_id is not None
            and entry.request_id == request_id
            and self._decisions.keeps_request_records
        ]
        if recorded:
            write.recorded_id = recorded[0]
            # The update of the record adds an entry, so that the answer
            # carries a position of the member's promised term.
            member.log.append(Entry(term=member.promised_term, write_id=None))
            return
        member.log.append(
            Entry(
                term=member.promised_term,
                write_id=write.write_id,
                request_id=request_id,
            ),
        )
        count = self._execution_counts.get(write.write_id, 0)
        self._execution_counts[write.write_id] = count + 1
        write.executed_in_older_term = member.promised_term < self._group.term

    def _start_confirmation(self, proxy: Proxy) -> None:
        """Start the confirmation of an executed write.

        The view may have changed since the execution.
        """
        if not proxy.executed:
            return
        write = proxy.executed.pop(0)
        position, writer = write.position, write.executed_on
        assert position is not None
        assert writer is not None
        if self._decisions.acknowledges_before_confirmation:
            self._acknowledge(write)
            return
        term = position.term
        confirmations = proxy.confirmations.get(term)
        if confirmations is None:
            confirmations = WriteConfirmations(
                term=term,
                needed=self._decisions.required_confirmations(proxy.view),
                replicas=self._decisions.confirming_replicas(
                    writer, proxy.view
                ),
            )
            proxy.confirmations[term] = confirmations
        write_id = WriteId(write.write_id)
        proxy.writes[write_id] = write
        effects = confirmations.add(write_id, position)
        self._apply_confirmations(proxy, confirmations, effects)

    def _end_wait(self, proxy: Proxy) -> None:
        if not proxy.waits:
            return
        index = self._random.randrange(len(proxy.waits))
        confirmations, wait = proxy.waits.pop(index)
        member = self._group.members[wait.upstream_id]
        if member.partition_side != proxy.partition_side:
            confirmations.wait_failed(wait.upstream_id)
            effects = confirmations.retry_waits()
        else:
            result = WaitResult(
                promised_term=member.status(self._now).promised_term,
                last_entry=member.last_entry,
            )
            proxy.known[wait.upstream_id] = member.last_entry
            result = self._decisions.wait_result(result)
            effects = confirmations.wait_ended(wait.upstream_id, result)
        self._apply_confirmations(proxy, confirmations, effects)

    def _apply_confirmations(
        self,
        proxy: Proxy,
        confirmations: WriteConfirmations,
        effects: tuple[ConfirmationEffect, ...],
    ) -> None:
        for effect in effects:
            match effect:
                case StartWait():
                    proxy.waits.append((confirmations, effect))
                case WritesConfirmed(writes=writes):
                    for write_id in writes:
                        self._acknowledge(proxy.writes.pop(write_id))
                case WritesUnknown(writes=writes):
                    for write_id in writes:
                        write = proxy.writes.pop(write_id)
                        write.outcome = Outcome.unknown

    def _expire_write(self, proxy: Proxy) -> None:
        if proxy.writes:
            write_id = self._random.choice(tuple(proxy.writes))
            for confirmations in proxy.confirmations.values():
                effects = confirmations.expire(write_id)
                self._apply_confirmations(proxy, confirmations, effects)

    def _acknowledge(self, write: Write) -> None:
        write.outcome = Outcome.done
        effective_id = write.recorded_id or write.write_id
        if write.executed_in_older_term:
            self._report_violation(
                'I2: a replaced primary acknowledged a write'
            )
        write.session.acknowledged.add(effective_id)
        self._acknowledged_at.setdefault(effective_id, self._now)
        if write.position is not None:
            write.session.token = self._decisions.advance_token(
                write.session.token, write.position
            )

    def _resend_request(self, proxy: Proxy) -> None:
        failed = [
            write
            for write in self._writes
            if write.request_id
            and write.outcome in {Outcome.unknown, Outcome.not_run}
        ]
        if failed:
            write = self._random.choice(failed)
            self._queue_write(proxy, write.session, write.request_id)

    def _abandon_transaction(self, proxy: Proxy) -> None:
        """Begin a transaction whose caller disconnects before its end."""
        decision = self._route(proxy, WriteRequest())
        if isinstance(decision, UsePrimary):
            owner = self._new_id()
            pool = proxy.pools[decision.upstream_id]
            if pool.start(owner, self._now):
                pool.exchange(owner, answered=True)
                pool.end(owner, self._now, answered=True, committed=False)
