"""State of a random history: sessions, writes, proxies and the group."""

import random
from dataclasses import dataclass, field, replace

from lavendergate.core.admission import (
    AdmissionQueue,
    AdmissionRequest,
)
from lavendergate.core.confirmation import (
    StartWait,
    WriteConfirmations,
    WriteId,
)
from lavendergate.core.decisions import (
    Request,
)
from lavendergate.core.errors import Outcome
from lavendergate.core.read_index import (
    ReaderId,
    RoundId,
)
from lavendergate.core.types import (
    GroupView,
    LogPosition,
    UpstreamId,
)
from properties.connection_model import PooledMember
from properties.group_model import MEMBERS, Group
from properties.proxy_decisions import ProxyDecisions, RoutingInput


@dataclass(kw_only=True, slots=True)
class Session:
    """A caller's session: its token and the writes acknowledged to it."""

    token: str = ''
    acknowledged: set[int] = field(default_factory=set)


@dataclass(kw_only=True, slots=True)
class Write:
    """A write of a session.

    Parameters
    ----------
    request_id
        Key of an idempotent request; None for other writes.
    position
        Last log position of the primary after the write.
    executed_on
        Member that executed the write.
    recorded_id
        Write that the member had recorded for the same request before.
    executed_in_older_term
        Whether the write was executed in an older term than the group's.
    """

    write_id: int
    request_id: int | None
    session: Session
    admission: AdmissionRequest
    position: LogPosition | None = None
    executed_on: UpstreamId | None = None
    recorded_id: int | None = None
    outcome: Outcome | None = None
    executed_in_older_term: bool = False


class Proxy:
    """State of one proxy.

    Parameters
    ----------
    decisions
        Decisions under test.
    view
        First view of the group.
    violations
        List to which the connection pools add violations.
    """

    def __init__(
        self, decisions: ProxyDecisions, view: GroupView, violations: list[str]
    ) -> None:
        """Create a proxy without queued statements."""
        self.view = view
        self.partition_side = 0
        self.known: dict[UpstreamId, LogPosition] = {}
        self.queue: AdmissionQueue = decisions.create_queue()
        self.queued: dict[AdmissionRequest, Write] = {}
        self.executed: list[Write] = []
        self.batcher = decisions.create_batcher()
        self.index_requests: list[tuple[RoundId, UpstreamId, bool]] = []
        self.readers: dict[ReaderId, set[int]] = {}
        self.waits: list[tuple[WriteConfirmations, StartWait]] = []
        self.confirmations: dict[int, WriteConfirmations] = {}
        self.writes: dict[WriteId, Write] = {}
        self.pools = {
            name: PooledMember(decisions, violations) for name in MEMBERS
        }


class History:
    """State and steps that reads and writes share.

    Parameters
    ----------
    decisions
        Decisions under test.
    seed
        Seed of the history.
    """

    def __init__(self, decisions: ProxyDecisions, seed: int) -> None:
        """Create a group, two proxies and three sessions."""
        self.violations: list[str] = []
        self._decisions = decisions
        self._random = random.Random(seed)
        self._now = 0.0
        self._group = Group(fences=decisions.fences)
        self._proxies = [
            Proxy(decisions, self._group.view(), self.violations)
            for _ in range(2)
        ]
        self._sessions = [Session() for _ in range(3)]
        self._writes: list[Write] = []
        self._acknowledged_at: dict[int, float] = {}
        self._execution_counts: dict[int, int] = {}
        self._last_id = 0

    def _report_violation(self, violation: str) -> None:
        self.violations.append(violation)

    def _new_id(self) -> int:
        self._last_id += 1
        return self._last_id

    def _route(self, proxy: Proxy, request: Request) -> object:
        view = proxy.view
        if self._random.random() < 0.5:
            # The proxy has detected which members it cannot reach.
            reachable = tuple(
                member
                for member in view.members
                if self._group.members[member.upstream_id].partition_side
                == proxy.partition_side
            )
            view = replace(view, members=reachable)
        inputs = RoutingInput(
            view=view,
            known=proxy.known,
            now=self._now,
            tie_breaker=self._random.random(),
        )
        return self._decisions.route(request, inputs)
