"""Gathers the proof that a promotion loses no acknowledged commit."""

from collections.abc import Iterable
from dataclasses import dataclass, field

import anyio

from lavendergate.controllers.fleet_state import FleetState
from lavendergate.controllers.member_poller import MemberPoller
from lavendergate.core.primary_replacement import (
    PausedReplica,
    PromotionEvidence,
    ServiceObservation,
)
from lavendergate.core.sessions.statements import (
    PauseReplication,
    ReportStatus,
)
from lavendergate.core.types import GroupId, Term, UpstreamId

# Time for which the paused replicas are asked again, in seconds. The question
# overlaps with the commit of the order.
_CHECK_TIMEOUT_S = 0.2


@dataclass(frozen=True, kw_only=True, slots=True)
class PromotionProof:
    """Evidence for a promotion, and the starts of members that it covers.

    Parameters
    ----------
    term
        Term for which the replicas were paused.
    starts
        Starts that could run when the replicas were paused, as (id, `born`).
    absent
        Replicas that must still be absent when the order is sent.
    """

    service: GroupId
    evidence: PromotionEvidence
    term: Term
    starts: frozenset[tuple[UpstreamId, int]]
    absent: frozenset[UpstreamId] = field(default_factory=frozenset)


class PromotionProofs:
    """Pauses and asks the members of a service for one promotion.

    A pause ends with the start that confirmed it. A start that began later
    receives commits that the candidate may lack, so the proof holds only for
    the starts that were asked.

    Parameters
    ----------
    fleet, poller
        State and connections of the members.
    """

    def __init__(self, *, fleet: FleetState, poller: MemberPoller) -> None:
        self._fleet = fleet
        self._poller = poller

    async def gather(
        self,
        service: GroupId,
        observed: ServiceObservation,
        candidate: UpstreamId,
    ) -> PromotionProof | None:
        """Pause all other replicas, then read the candidate's position.

        A paused replica confirms no commits, so the candidate can be compared
        with positions that no longer change. None if the candidate does not
        answer.
        """
        starts = self._fleet.starts(service)
        others = [
            known.upstream_id
            for known in observed.replicas
            if known.upstream_id != candidate
        ]
        term = Term(newest_term(observed) + 1)
        paused: list[PausedReplica] = []
        async with anyio.create_task_group() as tasks:
            for other in others:
                tasks.start_soon(self._pause_replica, other, term, paused)
        report = await self._poller.ask(candidate, ReportStatus())
        if report is None:
            return None
        confirmed = {replica.upstream_id for replica in paused}
        return PromotionProof(
            service=service,
            evidence=PromotionEvidence(
                candidate=candidate,
                candidate_received=report.received,
                paused=tuple(paused),
                unconfirmed=frozenset(others) - confirmed,
            ),
            term=term,
            starts=starts,
        )

    async def find_resumed(
        self, proof: PromotionProof, resumed: set[UpstreamId]
    ) -> None:
        """Add the replicas that are not paused any more to a set.

        One that does not answer in time counts as paused: it has no commit
        that the candidate lacks until it runs again.
        """
        with anyio.move_on_after(_CHECK_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                for replica in proof.evidence.paused:
                    tasks.start_soon(
                        self._check_pause,
                        replica.upstream_id,
                        proof.term,
                        resumed,
                    )

    async def ask_absent(self, proof: PromotionProof) -> None:
        """Ask absent replicas whether they have returned.

        One that answers may receive commits that the candidate lacks, so it
        has to be paused and compared first.
        """
        async with anyio.create_task_group() as tasks:
            for replica in proof.absent:
                tasks.start_soon(self._poller.ask, replica, ReportStatus())

    def problem(self, proof: PromotionProof) -> str | None:
        """Return why the proof has ended, or None if it holds.

        It is judged by what this host knows, without a question.
        """
        if self._fleet.starts(proof.service) != proof.starts:
            return 'a member started or ended since the replicas were paused'
        if not self._are_absent(proof.service, proof.absent):
            return 'an absent replica returned'
        return None

    async def _pause_replica(
        self, replica: UpstreamId, term: Term, paused: list[PausedReplica]
    ) -> None:
        report = await self._poller.ask(replica, PauseReplication(term=term))
        if report is None or report.paused_term < term:
            report = await self._poller.ask(replica, ReportStatus())
        if report is not None and report.paused_term >= term:
            paused.append(
                PausedReplica(upstream_id=replica, received=report.received)
            )

    async def _check_pause(
        self, replica: UpstreamId, term: Term, resumed: set[UpstreamId]
    ) -> None:
        report = await self._poller.ask(replica, ReportStatus())
        if report is not None and report.paused_term < term:
            resumed.add(replica)

    def _are_absent(
        self, service: GroupId, replicas: Iterable[UpstreamId]
    ) -> bool:
        observed = self._poller.observe(service)
        return frozenset(replicas) <= {
            known.upstream_id for known in observed.members if known.is_absent
        }


def newest_term(observed: ServiceObservation) -> Term:
    """Return the newest term that a member reported."""
    return max((member.term for member in observed.members), default=Term(0))
