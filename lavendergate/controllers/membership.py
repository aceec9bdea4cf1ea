"""Handlers of announcements and heartbeats on control hosts."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio

from lavendergate.controllers.log_port import LogPort
from lavendergate.controllers.observer import Observer
from lavendergate.controllers.registrar import Registrar
from lavendergate.controllers.share_source import ShareSource
from lavendergate.core.reports import Announcement
from lavendergate.core.types import HostId, UpstreamId
from lavendergate.rpc.announcement_signature import verify_announcement
from lavendergate.rpc.messages import (
    AnnounceReply,
    AnnounceRequest,
    HeartbeatReply,
    HeartbeatRequest,
    ShareGrant,
)

Forward = Callable[[str, AnnounceRequest], Awaitable[AnnounceReply]]
MergeClock = Callable[[int], int]

_BAD_SIGNATURE = (
    'announcement with an invalid signature refused; set the same '
    'LAVENDERGATE_ANNOUNCE_KEY for upstreams and hosts'
)


@dataclass(frozen=True, kw_only=True, slots=True)
class MembershipTimers:
    """Intervals of the membership controller, in seconds.

    Parameters
    ----------
    long_poll_s
        Maximum time until a heartbeat is answered.
    tick_s
        Interval at which hosts and members are expired and registered.
    """

    long_poll_s: float = 0.5
    tick_s: float = 0.05


class MembershipController:
    """Maintains the directory on the leader; answers hosts and upstreams.

    Parameters
    ----------
    log
        The replicated log.
    announce_key
        Key that agents sign announcements with.
    forward
        Sends announcements to the leader at an address; raises OSError if it
        cannot be reached.
    shares
        Division of the members' connections among the proxies.
    merge_clock
        Merges the sender's hybrid logical clock into that of this host and
        returns the result.
    """

    def __init__(
        self,
        *,
        log: LogPort,
        announce_key: bytes,
        forward: Forward,
        shares: ShareSource,
        merge_clock: MergeClock,
        timers: MembershipTimers | None = None,
    ) -> None:
        self._log = log
        self._announce_key = announce_key
        self._forward = forward
        self._shares = shares
        self._merge_clock = merge_clock
        self._timers = timers or MembershipTimers()
        self._registrar = Registrar(log=log, shares=shares)
        self._observer: Observer | None = None
        self._observed_epoch = -1
        self._changed = anyio.Event()
        self._sent: dict[
            HostId, tuple[tuple[ShareGrant, ...], tuple[UpstreamId, ...]]
        ] = {}
        self._problems: dict[str, float] = {}

    @property
    def observer(self) -> Observer:
        """Observations of the current epoch; empty unless this host leads."""
        epoch = self._log.epoch
        if self._observer is None or self._observed_epoch != epoch:
            self._observer = Observer(epoch=epoch, now=anyio.current_time())
            self._observed_epoch = epoch
            self._sent.clear()
        return self._observer

    def problems(self, now: float, lifetime_s: float = 10.0) -> list[str]:
        """Return the problems of the last `lifetime_s` seconds."""
        self._problems = {
            problem: seen_at
            for problem, seen_at in self._problems.items()
            if now - seen_at < lifetime_s
        }
        return sorted(self._problems)

    async def run(self) -> None:
        """Expire and register hosts and members while leading.

        Runs until cancelled.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_log)
            tasks.start_soon(self._register_periodically)
            while True:
                self._expire()
                await anyio.sleep(self._timers.tick_s)

    async def announce(self, request: AnnounceRequest) -> AnnounceReply:
        """Answer ``Announce``."""
        hosts = tuple(host.address for host in self._log.control_hosts)
        if not self._log.is_leader:
            return await self._forward_announcements(request, hosts)
        errors = self._receive_announcements(request.announcements)
        return AnnounceReply(
            hosts=hosts, problem='; '.join(errors) if errors else None
        )

    async def heartbeat(self, request: HeartbeatRequest) -> HeartbeatReply:
        """Answer ``Heartbeat`` when something changes for the proxy.

        The answer is delayed by at most the long poll time.
        """
        clock = self._merge_clock(request.clock)
        if not self._log.is_leader:
            return self._reply_without_content(clock)
        self._receive_announcements(request.announcements)
        now = anyio.current_time()
        answer = self.observer.record_heartbeat(request, now)
        if answer.is_err():
            self._problems[answer.unwrap_err()] = now
            return self._reply_without_content(clock, answer.unwrap_err())
        version = self._version()
        self._shares.record_heartbeat(request, now)
        if self._version() != version or _reports_failure(request):
            self._notify()
        with anyio.move_on_after(self._timers.long_poll_s):
            while not self._has_changes(request):
                await self._changed.wait()
        if not self._log.is_leader:
            return self._reply_without_content(clock)
        return self._reply(request)

    async def _watch_log(self) -> None:
        while True:
            await self._log.wait_for_change()
            self._expire()
            self._notify()

    async def _register_periodically(self) -> None:
        while True:
            if self._log.is_leader:
                await self._registrar.register(
                    self.observer, anyio.current_time()
                )
            await anyio.sleep(self._timers.tick_s)

    def _expire(self) -> None:
        if not self._log.is_leader:
            return
        version = self._version()
        self.observer.tick(self._log.state, anyio.current_time())
        if self._version() != version:
            self._notify()

    def _version(self) -> tuple[int, int]:
        return self.observer.directory.version, self._shares.version

    def _receive_announcements(
        self, signed: tuple[bytes, ...]
    ) -> tuple[str, ...]:
        now = anyio.current_time()
        verified: list[Announcement] = []
        errors: tuple[str, ...] = ()
        for content in signed:
            announcement = verify_announcement(content, self._announce_key)
            if announcement is None:
                errors = (_BAD_SIGNATURE,)
            else:
                verified.append(announcement)
        if verified:
            version = self._version()
            errors += self.observer.record_announcements(tuple(verified), now)
            self._update_shares(verified, now)
            if self._version() != version:
                self._notify()
        for error in errors:
            self._problems[error] = now
        return errors

    def _update_shares(
        self, announcements: list[Announcement], now: float
    ) -> None:
        """Forward accepted announcements to the division of connections."""
        members = self.observer.directory.members
        for announcement in announcements:
            entry = members.get(announcement.upstream_id)
            if entry is not None and entry.announcement == announcement:
                self._shares.record_announcement(announcement, now)

    async def _forward_announcements(
        self, request: AnnounceRequest, hosts: tuple[str, ...]
    ) -> AnnounceReply:
        leader = self._log.leader_address
        if leader is None:
            return AnnounceReply(
                hosts=hosts, problem='no control leader is known; retry'
            )
        try:
            return await self._forward(leader, request)
        except OSError as error:
            return AnnounceReply(
                hosts=hosts,
                problem=f'leader {leader} cannot be reached: {error}',
            )

    def _reply_without_content(
        self, clock: int, problem: str | None = None
    ) -> HeartbeatReply:
        return HeartbeatReply(
            problem=problem,
            leader=self._log.leader_address,
            has_quorum=self._log.is_leader and self._log.has_quorum,
            settings=None,
            directory_version=0,
            groups=None,
            shares=(),
            probe=(),
            clock=clock,
        )

    def _has_changes(self, request: HeartbeatRequest) -> bool:
        if not self._log.is_leader:
            return True
        state = self._log.state
        if state.settings.version > request.settings_version:
            return True
        if self._has_new_directory(request):
            return True
        return self._has_new_assignments(request.host_id)

    def _has_new_directory(self, request: HeartbeatRequest) -> bool:
        is_newer = self.observer.directory.version > request.directory_version
        return is_newer and self.observer.knows_all_members(
            self._log.state, anyio.current_time()
        )

    def _has_new_assignments(self, host_id: HostId) -> bool:
        """Whether grants changed or a probe has to start.

        The removal of a probe does not end the long poll early, so that a
        periodic probe runs until the end of the poll.
        """
        grants, probes = self._assignments(host_id)
        sent_grants, sent_probes = self._sent.get(host_id, ((), ()))
        return grants != sent_grants or not set(probes) <= set(sent_probes)

    def _assignments(
        self, host_id: HostId
    ) -> tuple[tuple[ShareGrant, ...], tuple[UpstreamId, ...]]:
        now = anyio.current_time()
        grants = self._shares.grants(host_id, now)
        return grants, self.observer.due_probes(host_id, self._log.state, now)

    def _reply(self, request: HeartbeatRequest) -> HeartbeatReply:
        now = anyio.current_time()
        state = self._log.state
        assignments = self._assignments(request.host_id)
        self._sent[request.host_id] = assignments
        self.observer.start_probe_period(request.host_id, now)
        is_newer = state.settings.version > request.settings_version
        has_groups = self._has_new_directory(request)
        return HeartbeatReply(
            problem=None,
            leader=self._log.leader_address,
            has_quorum=self._log.has_quorum,
            settings=state.settings if is_newer else None,
            directory_version=(
                self.observer.directory.version
                if has_groups
                else request.directory_version
            ),
            groups=self.observer.reports(state, now) if has_groups else None,
            shares=assignments[0],
            probe=assignments[1],
            clock=self._merge_clock(0),
        )

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


def _reports_failure(request: HeartbeatRequest) -> bool:
    has_failed_probe = any(not probe.reachable for probe in request.probes)
    return has_failed_probe or bool(request.suspected)
