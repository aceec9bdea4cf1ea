"""Probes of members on new connections, as control orders them."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

import anyio
from anyio.abc import TaskGroup

from lavendergate.backends.base import (
    ConnectionLostError,
    MemberAddress,
    UpstreamBackend,
    UpstreamError,
    UpstreamUnreachableError,
)
from lavendergate.controllers.directory import Directory
from lavendergate.core.types import UpstreamId
from lavendergate.rpc.messages import ProbeResult

PROBE_TIMEOUT_S = 0.5
PROBE_INTERVAL_S = 0.25
_RESULT_LIFETIME_S = 2.0
_MS_PER_S = 1000


@dataclass(frozen=True, kw_only=True, slots=True)
class _Finding:
    is_reachable: bool
    found_at: float


class Prober:
    """Probes members and keeps the last result of each.

    An open connection may be silent because something between the two ends
    has lost track of it, so only a new connection tells about the member.

    Parameters
    ----------
    note_lost
        Receives the connections that the member may keep open although the
        probe had no answer. Probes of a member that is cut off would use
        up its connection limit within seconds.
    """

    def __init__(
        self,
        *,
        backend: UpstreamBackend,
        directory: Directory,
        tasks: TaskGroup,
        note_lost: Callable[[UpstreamId, int], None],
    ) -> None:
        self._backend = backend
        self._note_lost = note_lost
        self._directory = directory
        self._tasks = tasks
        self._ordered: frozenset[UpstreamId] = frozenset()
        self._running: set[UpstreamId] = set()
        self._findings: dict[UpstreamId, _Finding] = {}

    def order(self, upstream_ids: Sequence[UpstreamId]) -> None:
        """Probe these members until the next order."""
        self._ordered = frozenset(upstream_ids)
        for upstream_id in self._ordered - self._running:
            self._running.add(upstream_id)
            self._tasks.start_soon(self._probe_while_ordered, upstream_id)

    def results(self) -> tuple[ProbeResult, ...]:
        """Return the recent results."""
        now = anyio.current_time()
        return tuple(
            ProbeResult(
                upstream_id=upstream_id,
                reachable=finding.is_reachable,
                age_ms=int((now - finding.found_at) * _MS_PER_S),
            )
            for upstream_id, finding in self._findings.items()
            if now - finding.found_at < _RESULT_LIFETIME_S
        )

    async def _probe_while_ordered(self, upstream_id: UpstreamId) -> None:
        try:
            while upstream_id in self._ordered:
                address = self._address(upstream_id)
                if address is not None:
                    is_reachable = await self._probe(upstream_id, address)
                    self._findings[upstream_id] = _Finding(
                        is_reachable=is_reachable,
                        found_at=anyio.current_time(),
                    )
                await anyio.sleep(PROBE_INTERVAL_S)
        finally:
            self._running.discard(upstream_id)

    async def _probe(
        self, upstream_id: UpstreamId, address: MemberAddress
    ) -> bool:
        try:
            connection = await self._backend.connect(
                address, database='', timeout_s=PROBE_TIMEOUT_S
            )
        except UpstreamUnreachableError as error:
            if error.connection_id is not None and not error.has_answered:
                self._note_lost(upstream_id, error.connection_id)
            return error.has_answered
        try:
            with anyio.fail_after(PROBE_TIMEOUT_S):
                await connection.execute('CALL group_status()')
        except (ConnectionLostError, TimeoutError):
            self._note_lost(upstream_id, connection.connection_id)
            return False
        except UpstreamError:
            # An error is an answer: the member is up.
            return True
        finally:
            connection.abort()
        return True

    def _address(self, upstream_id: UpstreamId) -> MemberAddress | None:
        for view in self._directory.groups.values():
            member = view.member(upstream_id)
            if member is not None:
                return MemberAddress(host=member.host, port=member.port)
        return None
