"""Tells the control hosts which of them do not answer the leader."""

from collections.abc import Callable, Mapping

import anyio

from lavendergate.core.control_group.voter_silences import (
    Silence,
    current_silences,
    longest_silences,
    observed_silences,
)
from lavendergate.core.types import HostId
from lavendergate.core.voter_changes import NodeProgress
from lavendergate.rpc.fleet_service import (
    REPORT_SILENCES,
    SilenceReport,
    SilentHost,
)
from lavendergate.rpc.peers import PeerCallError, PeerClient

# Interval of the reports, in seconds.
_INTERVAL_S = 0.3
_CALL_TIMEOUT_S = 0.6
_MS_PER_S = 1000


class SilenceExchange:
    """Keeps the silences of control hosts on all hosts that answer.

    Parameters
    ----------
    address
        Address of this host for the other control hosts, ``ip:port``.
    addresses
        Returns the addresses of the hosts of the group.
    """

    def __init__(
        self,
        *,
        address: str,
        addresses: Callable[[], Mapping[HostId, str]],
        peers: PeerClient,
    ) -> None:
        self._address = address
        self._addresses = addresses
        self._peers = peers
        self._silences: dict[HostId, Silence] = {}
        # Hosts that have been told of a silence, and have not confirmed since
        # that all hosts answer.
        self._informed: set[str] = set()
        self._reported_at = float('-inf')

    @property
    def silences(self) -> Mapping[HostId, Silence]:
        """Silences that this host knows of."""
        return self._silences

    def handle(
        self, request: SilenceReport, *, is_leader: bool
    ) -> SilenceReport:
        """Record which hosts do not answer the leader.

        Parameters
        ----------
        is_leader
            Whether this host leads itself, and knows better than the sender.

        Returns
        -------
        What this host knew before, for a leader that was started meanwhile.
        """
        now = anyio.current_time()
        known = _encode(current_silences(self._silences, now), now)
        if not is_leader:
            self._silences = _decode(request, now)
        return known

    async def run_once(self, progress: Mapping[HostId, NodeProgress]) -> bool:
        """Tell the other hosts who is silent, and learn what they knew.

        Parameters
        ----------
        progress
            Replication state of the other nodes, as this leader sees it.

        Returns
        -------
        Whether a host has become silent.
        """
        now = anyio.current_time()
        known = self._silences.keys()
        self._silences = observed_silences(self._silences, progress, now)
        is_changed = bool(self._silences.keys() - known)
        recipients = self._recipients()
        if recipients and now - self._reported_at >= _INTERVAL_S:
            self._reported_at = now
            await self._report(recipients, now)
        return is_changed

    def _recipients(self) -> set[str]:
        answering = self._answering_hosts()
        if self._silences:
            self._informed |= answering
        # A host that misses the report that all hosts answer again would go on
        # counting a silence that has ended, so it is sent again.
        return answering & self._informed

    async def _report(self, recipients: set[str], now: float) -> None:
        report = _encode(self._silences, now)
        with anyio.move_on_after(_INTERVAL_S):
            async with anyio.create_task_group() as tasks:
                for address in recipients:
                    tasks.start_soon(self._send, address, report)

    def _answering_hosts(self) -> set[str]:
        addresses = self._addresses()
        return {
            addresses[host_id] for host_id in addresses.keys() - self._silences
        } - {self._address}

    async def _send(self, address: str, report: SilenceReport) -> None:
        try:
            reply = await self._peers.call(
                address, REPORT_SILENCES, report, timeout_s=_CALL_TIMEOUT_S
            )
        except PeerCallError:
            # The report is repeated in the next interval.
            return
        if not report.hosts:
            self._informed.discard(address)
        reported = _decode(reply, anyio.current_time())
        self._silences = longest_silences(self._silences, reported)


def _encode(silences: Mapping[HostId, Silence], now: float) -> SilenceReport:
    return SilenceReport(
        hosts=tuple(
            SilentHost(
                host_id=host_id,
                incarnation=silence.incarnation,
                silent_ms=round((now - silence.since) * _MS_PER_S),
            )
            for host_id, silence in silences.items()
        )
    )


def _decode(report: SilenceReport, now: float) -> dict[HostId, Silence]:
    return {
        host.host_id: Silence(
            incarnation=host.incarnation,
            since=now - max(host.silent_ms, 0) / _MS_PER_S,
            reported_at=now,
        )
        for host in report.hosts
    }
