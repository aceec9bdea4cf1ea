"""Tests of the proof that a commit survives each promotion."""

import unittest
from collections.abc import Awaitable, Callable

import anyio
import trio
from trio.testing import MockClock

from lavendergate.core.leases.evidence import (
    CommitProof,
    PrimaryClaim,
    PrimaryCommit,
    PrimaryEvidence,
    ReplicaReport,
)
from lavendergate.core.sessions.statements import (
    Begin,
    Commit,
    Completed,
    Phase,
    RefusalCode,
    Refused,
    SessionAnswer,
    Write,
)
from lavendergate.core.types import LogPosition, Term, UpstreamId
from lavendergate.filters.sessions.base import CallerSession
from lavendergate.tests.session_fixture import PRIMARY, SessionFixture

_LEASE_S = 1.0
_CLAIM = PrimaryClaim(upstream_id=UpstreamId('a'), term=Term(2))


def code(answer: SessionAnswer) -> RefusalCode | None:
    """Return the code of a refusal."""
    outcome = answer.outcome
    return outcome.code if isinstance(outcome, Refused) else None


def at(position: int, term: int = 2) -> LogPosition:
    """Return a log position."""
    return LogPosition(term=Term(term), position=position)


def commit(
    position: int, *, term: int = 2, name: str = 'a', completed_at: float = 5
) -> PrimaryCommit:
    """Return a commit of a member."""
    return PrimaryCommit(
        upstream_id=UpstreamId(name),
        position=at(position, term),
        completed_at=completed_at,
    )


def reports(*positions: int, since: float = 0) -> tuple[ReplicaReport, ...]:
    """Return reports of replicas that have run since a time."""
    return tuple(
        ReplicaReport(received=at(position), running_since=since)
        for position in positions
    )


class ProofTest(unittest.TestCase):
    """Decisions on what is known of the primary and the other members."""

    def setUp(self) -> None:
        """Follow a primary whose lease ends at 4 s."""
        self.evidence = PrimaryEvidence()
        self.evidence.follow(_CLAIM)
        self.evidence.lease(_CLAIM, 4)

    def test_lease_covers_the_answer_and_not_the_question(self) -> None:
        """Guards against a commit that was confirmed after the lease."""
        in_time = commit(7, completed_at=4)
        self.assertEqual(self.evidence.proof_of(in_time), CommitProof.lease)
        late = commit(7, completed_at=4.1)
        self.assertEqual(self.evidence.proof_of(late), CommitProof.none)

    def test_confirmed_primary_proves_no_commit(self) -> None:
        """Guards against an order that is on its way to a member.

        The members know no newer primary, and the next one lacks the commit.
        """
        self.evidence.confirm(_CLAIM, 6)
        self.assertEqual(self.evidence.proof_of(commit(7)), CommitProof.none)
        self.assertFalse(self.evidence.may_prove_commits(6))

    def test_each_other_member_must_have_the_commit(self) -> None:
        """Guards against a proof by the one replica that confirmed it."""
        evidence = self.evidence
        evidence.record_received(_CLAIM, at(9), reports(9, 6), 5)
        self.assertEqual(evidence.proof_of(commit(7)), CommitProof.none)
        self.assertEqual(evidence.proof_of(commit(6)), CommitProof.members)
        self.assertFalse(evidence.may_prove_commits(5))
        evidence.record_received(_CLAIM, at(9), reports(9, 9), 5)
        self.assertEqual(evidence.proof_of(commit(7)), CommitProof.members)
        self.assertTrue(evidence.may_prove_commits(5.1))

    def test_members_that_were_restarted_prove_nothing(self) -> None:
        """Guards against an order for a member that the proxy does not know.

        It was proved while all known replicas were away, and they return.
        """
        evidence = self.evidence
        evidence.record_received(_CLAIM, at(9), reports(9, 9, since=4.1), 5)
        self.assertEqual(evidence.proof_of(commit(7)), CommitProof.none)
        self.assertTrue(evidence.is_unprovable(5))
        self.assertFalse(evidence.may_prove_commits(5))
        one_unbroken = reports(9, since=4) + reports(9, since=4.1)
        evidence.record_received(_CLAIM, at(9), one_unbroken, 6)
        self.assertEqual(evidence.proof_of(commit(7)), CommitProof.members)
        self.assertFalse(evidence.is_unprovable(6))

    def test_as_many_members_as_confirm_a_commit_must_have_run(self) -> None:
        """Guards against an order that left one replica unpaused."""
        evidence = self.evidence
        one_unbroken = reports(9, since=4) + reports(9, since=4.1)
        evidence.record_received(
            _CLAIM, at(9), one_unbroken, 5, synchronous_replicas=2
        )
        self.assertEqual(evidence.proof_of(commit(7)), CommitProof.none)
        evidence.record_received(
            _CLAIM, at(9), reports(9, 9), 5, synchronous_replicas=2
        )
        self.assertEqual(evidence.proof_of(commit(7)), CommitProof.members)

    def test_last_lease_counts_for_the_next_primary(self) -> None:
        """Guards against refused writes after a promotion without control."""
        following = PrimaryClaim(upstream_id=UpstreamId('b'), term=Term(3))
        self.evidence.follow(following)
        replicas = (ReplicaReport(received=at(2, 3), running_since=4),)
        self.evidence.record_received(following, at(2, 3), replicas, 5)
        self.assertEqual(
            self.evidence.proof_of(commit(1, name='b', term=3)),
            CommitProof.members,
        )

    def test_proxy_that_never_had_a_lease_proves_nothing_by_members(
        self,
    ) -> None:
        """Guards against a proxy that began while an order was on its way."""
        evidence = PrimaryEvidence()
        evidence.follow(_CLAIM)
        evidence.record_received(_CLAIM, at(9), reports(9, 9), 5)
        self.assertEqual(evidence.proof_of(commit(7)), CommitProof.none)

    def test_commit_of_another_primary_or_term_is_not_proved(self) -> None:
        """Guards against the lease of the next primary, or the next lead."""
        for other in (commit(7, name='b'), commit(7, term=1)):
            self.assertEqual(
                self.evidence.proof_of(other), CommitProof.impossible
            )

    def test_next_primary_begins_without_proof(self) -> None:
        """Guards against what was known of the former primary."""
        self.evidence.record_received(_CLAIM, at(9), reports(9), 5)
        following = PrimaryClaim(upstream_id=UpstreamId('b'), term=Term(3))
        self.evidence.follow(following)
        self.assertEqual(
            self.evidence.proof_of(commit(1, name='b', term=3)),
            CommitProof.none,
        )


def play(scenario: Callable[[SessionFixture], Awaitable[None]]) -> None:
    """Run a scenario with a proxy whose lease ends after a second."""

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            proxy = SessionFixture(tasks=tasks, lease_s=_LEASE_S, proxies=1)
            await scenario(proxy)
            tasks.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


class WriteProofTest(unittest.TestCase):
    """Writes of a proxy that hears nothing from control."""

    def test_returned_replica_confirms_no_write_alone(self) -> None:
        """Guards against a success that the promoted member lacks.

        Replica `b` was ordered to lead while `c` was absent. `c` has returned
        and confirms the commit; `b` is cut off and lacks it.
        """

        async def scenario(proxy: SessionFixture) -> None:
            member = proxy.group.member('a')
            session = CallerSession(database=PRIMARY)
            await proxy.send(session, Write(item='x', content='1'))
            await anyio.sleep(_LEASE_S - 0.5)
            proxy.group.member('b').is_replication_cut = True
            member.statement_s = 0.7
            answer = await proxy.send(session, Write(item='x', content='2'))
            self.assertEqual(member.content('x'), '2')
            self.assertEqual(code(answer), RefusalCode.unknown)
            member.statement_s = 0
            answer = await proxy.send(session, Write(item='x', content='3'))
            self.assertEqual(member.content('x'), '2')
            self.assertEqual(code(answer), RefusalCode.busy)

        play(scenario)

    def test_transaction_is_aborted_before_a_commit_without_proof(
        self,
    ) -> None:
        """Guards against UNKNOWN where ABORTED is true and useful."""

        async def scenario(proxy: SessionFixture) -> None:
            session = CallerSession(database=PRIMARY)
            await proxy.send(session, Begin())
            await proxy.send(session, Write(item='x', content='1'))
            proxy.group.member('b').is_down = True
            await anyio.sleep(_LEASE_S + 0.1)
            answer = await proxy.send(session, Commit())
            self.assertEqual(code(answer), RefusalCode.aborted)
            self.assertEqual(answer.phase, Phase.idle)
            self.assertEqual(proxy.group.member('a').content('x'), '')

        play(scenario)

    def test_writes_go_on_while_all_replicas_have_them(self) -> None:
        """Guards against refused writes while control has no leader."""

        async def scenario(proxy: SessionFixture) -> None:
            await anyio.sleep(_LEASE_S + 1)
            session = CallerSession(database=PRIMARY)
            for number in range(50):
                write = Write(item=f'x{number}', content='1')
                answer = await proxy.send(session, write)
                self.assertIsInstance(answer.outcome, Completed)
                await anyio.sleep(0.2)
            await proxy.send(session, Begin())
            await proxy.send(session, Write(item='x', content='1'))
            answer = await proxy.send(session, Commit())
            self.assertIsInstance(answer.outcome, Completed)

        play(scenario)

    def test_write_is_refused_at_once_while_a_replica_is_away(self) -> None:
        """Guards against writes that wait for a proof that cannot come.

        On scale-1 of palmetto-vent, writes of two proxies without a lease
        waited 0.25 s each before they were refused and could go elsewhere.
        """

        async def scenario(proxy: SessionFixture) -> None:
            replica = proxy.group.member('b')
            replica.is_down = True
            session = CallerSession(database=PRIMARY)
            write = Write(item='x', content='1')
            await anyio.sleep(_LEASE_S + 0.1)
            await proxy.send(session, write)
            began_at = anyio.current_time()
            answer = await proxy.send(session, write)
            self.assertEqual(code(answer), RefusalCode.busy)
            self.assertLess(anyio.current_time() - began_at, 0.01)
            replica.is_down = False
            await anyio.sleep(0.4)
            await proxy.send(session, write)
            await anyio.sleep(0.4)
            answer = await proxy.send(session, write)
            self.assertIsInstance(answer.outcome, Completed)

        play(scenario)

    def test_absent_replica_stops_no_writes_under_a_lease(self) -> None:
        """Guards against refused writes while one replica is away."""

        async def scenario(proxy: SessionFixture) -> None:
            proxy.group.member('b').is_down = True
            session = CallerSession(database=PRIMARY)
            answer = await proxy.send(session, Write(item='x', content='1'))
            self.assertIsInstance(answer.outcome, Completed)

        play(scenario)
