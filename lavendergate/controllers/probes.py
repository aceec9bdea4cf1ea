"""Probes of members on new connections, as the control leader requests."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

import anyio

from lavendergate.backends.base import (
    ConnectionLostError,
    MemberAddress,
    UpstreamBackend,
    UpstreamError,
    UpstreamUnreachableError,
)
from lavendergate.controllers.directory import Directory
from lavendergate.controllers.waiters import TaskStarter
from lavendergate.core.types import UpstreamId
from lavendergate.rpc.messages import ProbeResult

PROBE_TIMEOUT_S = 0.5
PROBE_INTERVAL_S = 0.25
_RESULT_LIFETIME_S = 2.0
_MS_PER_S = 1000


@dataclass(frozen=True, kw_only=True, slots=True)
class _Result:
    is_reachable: bool
    measured_at: float


class Prober:
    """Probes members and keeps the last result of each.

    Each probe opens a new connection: an open one may be silent because a
    network device between the two ends has lost its state, which says nothing
    about the member.

    Parameters
    ----------
    record_lost
        Called with each connection that the member may still hold open after
        a probe without an answer, so that it can be closed there. Otherwise
        the probes of an unreachable member would use up its connection limit
        within seconds.
    """

    def __init__(
        self,
        *,
        backend: UpstreamBackend,
        directory: Directory,
        tasks: TaskStarter,
        record_lost: Callable[[UpstreamId, int], None],
    ) -> None:
        self._backend = backend
        self._record_lost = record_lost
        self._directory = directory
        self._tasks = tasks
        self._targets: frozenset[UpstreamId] = frozenset()
        self._running: set[UpstreamId] = set()
        self._results: dict[UpstreamId, _Result] = {}

    def set_targets(self, upstream_ids: Sequence[UpstreamId]) -> None:
        """Probe exactly these members until the next call."""
        self._targets = frozenset(upstream_ids)
        for upstream_id in self._targets - self._running:
            self._running.add(upstream_id)
            self._tasks.start_soon(self._probe_while_targeted, upstream_id)

    def results(self) -> tuple[ProbeResult, ...]:
        """Return the last result of each member, unless it is too old."""
        now = anyio.current_time()
        return tuple(
            ProbeResult(
                upstream_id=upstream_id,
                reachable=result.is_reachable,
                age_ms=int((now - result.measured_at) * _MS_PER_S),
            )
            for upstream_id, result in self._results.items()
            if now - result.measured_at < _RESULT_LIFETIME_S
        )

    async def _probe_while_targeted(self, upstream_id: UpstreamId) -> None:
        try:
            while upstream_id in self._targets:
                address = self._address(upstream_id)
                if address is not None:
                    is_reachable = await self._probe(upstream_id, address)
                    self._results[upstream_id] = _Result(
                        is_reachable=is_reachable,
                        measured_at=anyio.current_time(),
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
                self._record_lost(upstream_id, error.connection_id)
            return error.has_answered
        try:
            with anyio.fail_after(PROBE_TIMEOUT_S):
                await connection.execute('CALL group_status()')
        except (ConnectionLostError, TimeoutError):
            self._record_lost(upstream_id, connection.connection_id)
            return False
        except UpstreamError:
            # An SQL error is an answer too, so the member is reachable.
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
