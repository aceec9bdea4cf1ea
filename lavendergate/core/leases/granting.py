"""Decides which services the control leader leases, and until when.

A lease covers the time until `LEASE_S` after the leader confirmed that it
leads. A later leader, or the same one after it stopped granting, has to wait
for `LEASE_S` only, whatever became of the messages and the hosts meanwhile.
"""

from dataclasses import dataclass, field

from lavendergate.core.primary_replacement import (
    REPORT_AGE_LIMIT_S,
    MemberObservation,
    ServiceObservation,
)
from lavendergate.core.types import GroupId, Term, UpstreamId

# Duration of a lease in seconds. It is longer than the interval of the proxies'
# requests plus the age of the leader's confirmation.
LEASE_S = 1.0
# Time without an answer after which no lease is granted, in seconds, so that
# the leases have expired when the primary is considered failed.
SUSPICION_S = 0.25
# Time after which the reports of proxies show the failure of a primary, in
# seconds. Earlier reports may still describe the time before it.
_REPORT_DELAY_S = 0.6


@dataclass(frozen=True, kw_only=True, slots=True)
class PromotionHistory:
    """What is known of earlier promotions of a service.

    Parameters
    ----------
    ordered
        Member of the last promotion order; None if there was none. An order
        for another member than the primary may still be carried out.
    newest_term
        Term of the newest primary that any host has seen.
    """

    ordered: UpstreamId | None
    newest_term: Term


def may_grant_lease(
    observed: ServiceObservation, history: PromotionHistory, now: float
) -> bool:
    """Return whether the primary of a service may be leased to proxies.

    Parameters
    ----------
    observed
        Latest observation of the service.
    now
        Monotonic time, in seconds.
    """
    primary = observed.member(observed.primary)
    if primary is None or not primary.is_primary:
        return False
    if has_unresolved_order(observed, history):
        return False
    if _has_newer_term(observed, history, primary):
        return False
    suspected_since = _suspected_since(primary, now)
    if suspected_since is None:
        return True
    return _most_proxies_reach_primary(
        observed, suspected_since + _REPORT_DELAY_S, now
    )


def has_unresolved_order(
    observed: ServiceObservation, history: PromotionHistory
) -> bool:
    """Return whether the last order names another member than the primary."""
    return history.ordered not in {None, observed.primary}


def may_be_superseded(
    observed: ServiceObservation, history: PromotionHistory
) -> bool:
    """Return whether a newer primary may exist that is not observed.

    An order for the observed primary would discard its commits.
    """
    primary = observed.member(observed.primary)
    if primary is None or not primary.is_primary:
        return True
    if _has_newer_term(observed, history, primary):
        return True
    return history.ordered != primary.upstream_id and any(
        replica.failing_since is not None for replica in observed.replicas
    )


def _has_newer_term(
    observed: ServiceObservation,
    history: PromotionHistory,
    primary: MemberObservation,
) -> bool:
    if history.newest_term > primary.term:
        return True
    return any(member.term > primary.term for member in observed.members)


def _suspected_since(primary: MemberObservation, now: float) -> float | None:
    if primary.failing_since is not None:
        return primary.failing_since
    waiting_since = primary.waiting_since
    if waiting_since is None or now - waiting_since < SUSPICION_S:
        return None
    return waiting_since


def _most_proxies_reach_primary(
    observed: ServiceObservation, reported_after: float, now: float
) -> bool:
    """Return whether most proxies have reached the primary since a time.

    A proxy whose last report is from before counts as one that does not reach
    it, so that the first reports after a failure do not decide alone.
    """
    reports = [
        report
        for report in observed.reports
        if now - report.reported_at <= REPORT_AGE_LIMIT_S
    ]
    reached = sum(
        report.reachable
        for report in reports
        if report.reported_at >= reported_after
    )
    return reached * 2 > len(reports)


@dataclass(kw_only=True, slots=True)
class LeaseLedger:
    """Services that one leader leases, and since when it leases others not.

    All times are in seconds on a clock that also runs while the host is
    suspended.

    Parameters
    ----------
    leading_since
        When the host became leader. Leases of its predecessor may last for
        `LEASE_S` after this time.
    confirmed_at
        Latest time at which the host is known to have been the leader.
    replacing
        Services whose primary is being replaced.
    """

    leading_since: float
    confirmed_at: float
    _granted: set[GroupId] = field(default_factory=set)
    _withheld_since: dict[GroupId, float] = field(default_factory=dict)
    replacing: set[GroupId] = field(default_factory=set)

    def grant(self, service: GroupId) -> bool:
        """Lease a service from now on; return whether it was withheld."""
        if service in self._granted:
            return False
        self._granted.add(service)
        self._withheld_since.pop(service, None)
        self.replacing.discard(service)
        return True

    def withhold(self, service: GroupId, now: float) -> None:
        """Lease a service no longer."""
        if service in self._granted:
            self._granted.discard(service)
            self._withheld_since[service] = now

    def is_granted(self, service: GroupId) -> bool:
        """Return whether a service is leased."""
        return service in self._granted

    def remaining_s(self, service: GroupId, now: float) -> float:
        """Return the time until all leases of a service have expired."""
        if service in self._granted:
            return float('inf')
        since = self._withheld_since.get(service, self.leading_since)
        return max(0, since + LEASE_S - now)

    def lease_s(self, now: float) -> float:
        """Return how long a lease that is granted now lasts, in seconds."""
        return max(0, self.confirmed_at + LEASE_S - now)
