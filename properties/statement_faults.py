"""Deliberate faults in the decisions of the statement path."""

from dataclasses import replace

from lavendergate.core.admission import AdmissionQueue, AdmissionRequest
from lavendergate.core.confirmation import WaitResult
from lavendergate.core.decisions import Decision, Request, SessionRead
from lavendergate.core.errors import Outcome
from lavendergate.core.read_index import (
    Effects,
    IndexSource,
    ReaderId,
    ReadIndexBatcher,
)
from lavendergate.core.retries import Failure
from lavendergate.core.types import (
    LOG_START,
    GroupView,
    LogPosition,
    MemberView,
    Term,
    UpstreamId,
)
from properties.proxy_decisions import ProxyDecisions, RoutingInput


class _ViewFault(ProxyDecisions):
    """Base of faults that change the members in the view of routing."""

    def route(
        self,
        request: Request,
        inputs: RoutingInput,
    ) -> Decision:
        view = inputs.view
        members = tuple(
            self.replace_member(member, view, inputs.now)
            for member in view.members
        )
        inputs = inputs._replace(view=replace(view, members=members))
        return super().route(request, inputs)

    def replace_member(
        self,
        member: MemberView,
        view: GroupView,
        now: float,
    ) -> MemberView:
        raise NotImplementedError


class IgnoreObservationAge(_ViewFault):
    """Ignores the time that has passed since a member reported its age."""

    def replace_member(
        self,
        member: MemberView,
        view: GroupView,
        now: float,
    ) -> MemberView:
        return replace(member, observed_at=now)


class IgnorePromiseOfMember(_ViewFault):
    """Accepts the reported age of a replica that follows a replaced primary."""

    def replace_member(
        self,
        member: MemberView,
        view: GroupView,
        now: float,
    ) -> MemberView:
        status = replace(member.status, promised_term=view.term)
        return replace(member, status=status)


class IgnoreTermInTokens(ProxyDecisions):
    """Compares log positions without their terms."""

    def route(
        self,
        request: Request,
        inputs: RoutingInput,
    ) -> Decision:
        if not isinstance(request, SessionRead) or request.position is None:
            return super().route(request, inputs)
        first_term = Term(1)
        members = tuple(
            replace(
                member,
                status=replace(
                    member.status,
                    last_entry=replace(
                        member.status.last_entry, term=first_term
                    ),
                ),
            )
            for member in inputs.view.members
        )
        view = replace(
            inputs.view, members=members, term=first_term, term_history=()
        )
        known = {
            name: replace(last, term=first_term)
            for name, last in inputs.known.items()
        }
        return super().route(
            replace(
                request, position=replace(request.position, term=first_term)
            ),
            inputs._replace(view=view, known=known),
        )


class SkipReadIndex(ProxyDecisions):
    """Serves reads without a token from any member, without a read index."""

    def route(
        self,
        request: Request,
        inputs: RoutingInput,
    ) -> Decision:
        if request == SessionRead(position=None):
            request = SessionRead(position=LOG_START)
        return super().route(request, inputs)


class IgnoreTokens(SkipReadIndex):
    """Treats each session as new."""

    def token_position(self, text: str) -> LogPosition | None:
        return None


class ReadIndexWithoutReplicas(ProxyDecisions):
    """Completes a read-index round with the answer of the primary alone."""

    def required_promises(self, view: GroupView) -> int:
        return 0


class _LateBatcher(ReadIndexBatcher):
    def add_reader(self, reader_id: ReaderId, source: IndexSource) -> Effects:
        if self._round is None:
            return super().add_reader(reader_id, source)
        self._round.readers = (*self._round.readers, reader_id)
        return ()


class ServeLateReaders(ProxyDecisions):
    """Serves reads that arrived after the read-index round started."""

    def create_batcher(self) -> ReadIndexBatcher:
        return _LateBatcher()


class AcknowledgeBeforeConfirmation(ProxyDecisions):
    """Acknowledges a write once the primary has executed it."""

    acknowledges_before_confirmation = True


class ConfirmWithoutReplicas(ProxyDecisions):
    """Confirms a write without any replica."""

    def required_confirmations(self, view: GroupView) -> int:
        return 0


class CountWriterAsReplica(ProxyDecisions):
    """Excludes the primary of the view instead of the member that wrote.

    After a promotion the writer counts as a replica that confirms its own
    write.
    """

    def confirming_replicas(
        self,
        writer: UpstreamId,
        view: GroupView,
    ) -> frozenset[UpstreamId]:
        return frozenset(
            name for name in view.member_ids if name != view.primary
        )


class AcceptFencedReplica(ProxyDecisions):
    """Counts the confirmation of a replica that promised a newer term."""

    def wait_result(self, result: WaitResult) -> WaitResult:
        return replace(result, promised_term=result.last_entry.term)


class RunRequestAgain(ProxyDecisions):
    """Executes a repeated request although its record exists."""

    keeps_request_records = False


class ReadAfterFailedWait(ProxyDecisions):
    """Reads from a replica although its wait ended without the entry."""

    reads_after_failed_wait = True


class RetryUnknownWrite(ProxyDecisions):
    """Retries a write whose answer was lost."""

    def may_retry(self, failure: Failure) -> bool:
        return failure is not Failure.statement_error


class ReportUnknownAsNotRun(ProxyDecisions):
    """Reports a lost answer as `not run`."""

    def outcome(self, failure: Failure) -> Outcome:
        return Outcome.not_run


class ReuseAbandonedConnection(ProxyDecisions):
    """Releases a connection for reuse although an answer is outstanding."""

    def is_reusable(self, *, is_answered: bool, has_transaction: bool) -> bool:
        return not has_transaction


class ReuseOpenTransaction(ProxyDecisions):
    """Releases a connection for reuse with an open transaction."""

    def is_reusable(self, *, is_answered: bool, has_transaction: bool) -> bool:
        return is_answered


class StartExpiredStatement(ProxyDecisions):
    """Leaves a statement in the queue after it was refused as `not run`."""

    withdraws_expired = False

    def withdraw_expired(
        self, queue: AdmissionQueue, request: AdmissionRequest
    ) -> None:
        request.deadline = float('inf')


FAULTS: tuple[tuple[type[ProxyDecisions], str], ...] = (
    (IgnoreObservationAge, 'stated age'),
    (IgnorePromiseOfMember, 'stated age'),
    (IgnoreTermInTokens, 'I1'),
    (SkipReadIndex, 'fresh'),
    (IgnoreTokens, 'I1'),
    (ReadIndexWithoutReplicas, 'fresh'),
    (ServeLateReaders, 'fresh'),
    (AcknowledgeBeforeConfirmation, 'I10: an acknowledged write is lost'),
    (ConfirmWithoutReplicas, 'I10: an acknowledged write is lost'),
    (CountWriterAsReplica, 'I'),
    (AcceptFencedReplica, 'I2'),
    (RunRequestAgain, 'I6'),
    (ReadAfterFailedWait, 'I1'),
    (RetryUnknownWrite, 'I10: a write is doubled'),
    (ReportUnknownAsNotRun, 'I5'),
    (ReuseAbandonedConnection, 'I4'),
    (ReuseOpenTransaction, 'I3'),
    (StartExpiredStatement, 'I5'),
)
