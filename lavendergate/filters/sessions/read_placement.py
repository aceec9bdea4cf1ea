"""Orders the members of a service for a read, from this proxy's links."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from lavendergate.controllers.member_link import MemberLink
from lavendergate.controllers.session_pools import SessionPools
from lavendergate.core.fleet_directory import MemberEntry
from lavendergate.core.placement.read_order import (
    ReadCandidate,
    order_for_read,
)
from lavendergate.core.placement.replica_lag import ReplicaLag
from lavendergate.core.sessions.context import StatementContext
from lavendergate.core.types import LogPosition, UpstreamId


@dataclass(kw_only=True, slots=True)
class ReadPlacement:
    """Expected lag of the replicas, and the order that follows from it.

    Parameters
    ----------
    pools
        Connections to members, with their latency, failures and pace.
    monotonic
        Monotonic time, in seconds.
    """

    pools: SessionPools
    monotonic: Callable[[], float]
    _lags: dict[UpstreamId, tuple[int, ReplicaLag]] = field(
        default_factory=dict
    )

    def order(
        self,
        members: Iterable[MemberEntry],
        primary: MemberEntry | None,
        position: LogPosition,
        age_s: float,
        context: StatementContext,
    ) -> tuple[UpstreamId, ...]:
        """Return the members to try for a read, best first.

        Parameters
        ----------
        position, age_s
            Position that the member must have applied, and the time since it
            was reached, in seconds.
        context
            Priorities of the read, which decide how long it would wait.
        """
        primary_id = None if primary is None else primary.upstream_id
        links = tuple(self.pools.link(entry) for entry in members)
        self._compare_replicas(
            [link for link in links if link.entry.upstream_id != primary_id]
        )
        return order_for_read(
            tuple(
                self._candidate(
                    link,
                    link.entry.upstream_id == primary_id,
                    age_s,
                    context,
                )
                for link in links
            ),
            position,
        )

    def record_lag(
        self, member: MemberEntry, age_s: float, *, was_behind: bool
    ) -> None:
        """Record whether a replica had applied a position of this age."""
        lag = self._lag(member)
        now = self.monotonic()
        if was_behind:
            lag.record_refusal(age_s, now)
        else:
            lag.record_served(age_s, now)

    def _lag(self, member: MemberEntry) -> ReplicaLag:
        known = self._lags.get(member.upstream_id)
        if known is None or known[0] != member.born:
            known = (member.born, ReplicaLag())
            self._lags[member.upstream_id] = known
        return known[1]

    def _compare_replicas(self, links: list[MemberLink]) -> None:
        """Compare the replicas with each other.

        The primary runs other statements and is no measure for them.
        """
        for link in links:
            peers = tuple(peer.pace.speed for peer in links if peer is not link)
            link.pace.compare(peers)

    def _candidate(
        self,
        link: MemberLink,
        is_primary: bool,
        age_s: float,
        context: StatementContext,
    ) -> ReadCandidate:
        now = self.monotonic()
        entry = link.entry
        pace = link.pace
        turns = link.turns
        lag = self._lag(entry)
        refuses = not (is_primary or lag.take_trial(age_s, now))
        # Statements that wait here for the member are work ahead of the read.
        wait_s = (
            turns.expected_wait_s(context, link.latency_s, now)
            if turns.waiting_count
            else 0
        )
        return ReadCandidate(
            upstream_id=entry.upstream_id,
            is_primary=is_primary,
            latency_s=link.latency_s + wait_s,
            in_flight=link.in_flight,
            slots=entry.slots,
            applied=link.applied,
            applied_age_s=now - link.applied_at,
            is_suspect=link.is_suspect,
            is_expected_behind=refuses
            or (not is_primary and lag.is_behind(age_s, now)),
            refuses=refuses,
            pace=1 if is_primary else pace.fraction,
            error_share=pace.error_share,
            is_withheld=not (is_primary or pace.may_take_read()),
        )
