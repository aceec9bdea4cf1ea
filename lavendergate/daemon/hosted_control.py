"""The control role on the hosting platform."""

import os
from contextlib import suppress
from functools import partial
from importlib import import_module
from typing import TypeVar

import anyio
from anyio.abc import TaskGroup
from anyio.to_thread import run_sync as run_in_thread
from grpclib.server import Server
from result import Ok

from lavendergate.controllers.control_node import ControlNode
from lavendergate.controllers.control_sync import (
    ControlSyncClient,
    SyncReceiver,
)
from lavendergate.controllers.driver_options import DriverOptions
from lavendergate.controllers.fleet_state import FleetState
from lavendergate.controllers.group_formation import GroupFormation
from lavendergate.controllers.leases.grants import LeaseGrants
from lavendergate.controllers.log_storage.watch import StorageWatch
from lavendergate.controllers.member_poller import MemberPoller
from lavendergate.controllers.tolerance_watch import ToleranceWatch
from lavendergate.core.bounds.ranges import MAX_COUNT
from lavendergate.core.commands import PublishRoutes
from lavendergate.core.consensus.types import NodeOptions
from lavendergate.core.control_group.group_founding import founder_of
from lavendergate.core.fleet_directory import MemberEntry
from lavendergate.core.types import HostId
from lavendergate.daemon.hosted_process import HostedProcess, boottime_s
from lavendergate.daemon.listening import listen
from lavendergate.daemon.start_refusal import ExitCode, StartRefusedError
from lavendergate.daemon.storage_start import log_directory_of, open_storage
from lavendergate.observability.process_events import ProcessEvent
from lavendergate.observability.session_events import SessionEvent
from lavendergate.platform.members import LineMemberDialer
from lavendergate.platform.settings_file import HostSettings
from lavendergate.rpc.codec import MessagePackCodec
from lavendergate.rpc.fleet_service import (
    JOIN,
    LEAVE,
    MERGE,
    PROPOSE_ROUTES,
    READ_ROUTES,
    REPORT_SILENCES,
    SYNC,
    JoinReply,
    JoinRequest,
    MergeReply,
    MergeRequest,
    PrimaryReachability,
    RoutesProposal,
    RoutesProposalReply,
    RoutesReply,
    RoutesRequest,
    SyncReply,
)
from lavendergate.rpc.peers import PeerCallError, PeerClient
from lavendergate.rpc.service import Method, UnaryService
from lavendergate.rpc.transport import GrpcTransport
from lavendergate.storage.base import LogStorage, StorageError
from lavendergate.storage.fleet_state_file import (
    FleetStateFile,
    SavedFleetState,
)
from lavendergate.storage.founding_record import (
    read_founding_record,
    remove_founding_record,
    write_founding_record,
)
from lavendergate.supervision.odd_values import OddValueLog

RequestT = TypeVar('RequestT')
ReplyT = TypeVar('ReplyT')

# Several times a round trip between regions plus a slow disk sync.
_ELECTION_TIMEOUT_S = 0.7
_HEARTBEAT_INTERVAL_S = 0.25
# Shorter, because after a power failure all hosts start at the same time and
# there is no leader to wait for.
_FIRST_ELECTION_TIMEOUT_S = 0.2
# Number of log entries after which a snapshot is written. A route table may
# take tens of kilobytes, and disk and memory are small.
_ENTRIES_PER_SNAPSHOT = 64
_RETAINED_ENTRIES = 16
# Longer than an election timeout.
_STORAGE_RETRY_S = 1.0
# Clients of a control host try another one after 1 s without an answer.
_FORWARD_TIMEOUT_S = 0.8
_MERGE_TIMEOUT_S = 0.6
_DIAL_TIMEOUT_S = 0.5
_STOP_DELAY_S = 0.3
_LEADER_POLL_S = 0.1
_SAVE_INTERVAL_S = 0.5
_FAILED_SAVE_DELAY_S = 10.0
_SOURCE_ID_BYTES = 8
# Above all versions, so that no sync reply contains a route table.
_ROUTES_VERSION_ABOVE_ALL = MAX_COUNT
# Modules that are not needed to answer proxies. They are imported while
# proxies are served already, because imports take most of the start time.
_DEFERRED_MODULES = (
    'lavendergate.controllers.takeover',
    'lavendergate.platform.control_calls',
    'lavendergate.observability.exposition',
    'lavendergate.daemon.control_operations',
)
# Pause between these imports, in seconds, so that waiting calls are answered.
_IMPORT_PAUSE_S = 0.004
# Pause after an import that failed, in seconds: connections that came before
# it may use up the descriptors.
_IMPORT_RETRY_S = 0.2


class FleetStateReceiver(SyncReceiver):
    """Merges the leader's sync replies into the fleet state of a follower.

    Parameters
    ----------
    fleet
        Fleet state of this host.
    """

    def __init__(self, *, fleet: FleetState) -> None:
        self._fleet = fleet

    @property
    def routes_version(self) -> int:
        """Maximum, so that no table is sent; tables arrive by the log."""
        return _ROUTES_VERSION_ABOVE_ALL

    @property
    def is_leader(self) -> bool:
        """Whether this host leads."""
        return self._fleet.is_leading

    def primary_reach(self) -> tuple[PrimaryReachability, ...]:
        """Return nothing; only proxies report reachability."""
        return ()

    def apply(self, reply: SyncReply, sent_at: float) -> None:
        """Merge a sync reply of the leader."""
        self._fleet.merge(reply.entries)
        for notice in reply.primaries:
            self._fleet.publish_primary(notice)
        self._fleet.record_notices(reply.positions, sent_at)


class HostedControl:
    """Runs the log node and the fleet state of a control host.

    Parameters
    ----------
    process
        Settings, stop signal and event log of the process.
    tasks
        Task group of the role.
    storage
        Storage of the log, not yet loaded.
    damage
        Why the log was reset; None if it was not.
    """

    def __init__(
        self,
        *,
        process: HostedProcess,
        tasks: TaskGroup,
        storage: LogStorage,
        damage: str | None,
    ) -> None:
        settings = process.settings
        self._process = process
        self._tasks = tasks
        self._events = process.events
        self._host_id = HostId(settings.node_name)
        self._odd_values = OddValueLog(
            events=process.events, clock=anyio.current_time
        )
        self._peers = PeerClient(
            report=self._odd_values.report, boundary=process.boundary
        )
        self._log_directory = log_directory_of(settings)
        if damage is not None:
            self._events.emit(SessionEvent.log_replaced, reason=damage)
        recorded_seeds = self._read_founding_record(is_reset=bool(damage))
        self._node = ControlNode(
            host_id=self._host_id,
            address=settings.internal_address,
            transport=GrpcTransport(boundary=process.boundary),
            storage=storage,
            options=DriverOptions(
                node=NodeOptions(
                    election_timeout_s=_ELECTION_TIMEOUT_S,
                    heartbeat_interval_s=_HEARTBEAT_INTERVAL_S,
                    first_election_timeout_s=_FIRST_ELECTION_TIMEOUT_S,
                ),
                entries_per_snapshot=_ENTRIES_PER_SNAPSHOT,
                retained_entries=_RETAINED_ENTRIES,
                storage_retry_s=_STORAGE_RETRY_S,
                report_storage_failure=self._report_storage_failure,
            ),
            founding_seeds=recorded_seeds,
        )
        self._leases = LeaseGrants(
            node=self._node, real_clock=boottime_s, events=self._events
        )
        self._fleet = FleetState(
            node=self._node,
            leases=self._leases,
            source=f'{settings.node_name}/{os.urandom(_SOURCE_ID_BYTES).hex()}',
            clock=anyio.current_time,
            real_clock=boottime_s,
            events=self._events,
        )
        self._poller = MemberPoller(
            fleet=self._fleet,
            dialer=LineMemberDialer(
                host=settings.node_name, timeout_s=_DIAL_TIMEOUT_S
            ),
            clock=anyio.current_time,
            real_clock=boottime_s,
            events=self._events,
        )
        self._formation = GroupFormation(
            node=self._node,
            address=settings.internal_address,
            seeds=settings.internal_control_addresses,
            founder=founder_of(
                settings.internal_address,
                bootstrap=settings.bootstrap,
                seeds=settings.internal_control_addresses,
                recorded_seeds=recorded_seeds,
            ),
            peers=self._peers,
            events=self._events,
            real_clock=boottime_s,
        )
        self._sync_client = ControlSyncClient(
            host_id=self._host_id,
            is_proxy=False,
            seeds=settings.internal_control_addresses,
            receiver=FleetStateReceiver(fleet=self._fleet),
            peers=self._peers,
            events=self._events,
            real_clock=boottime_s,
            own_address=settings.internal_address,
        )
        self._storage_watch = StorageWatch(
            wait_s=lambda: self._node.storage_wait_s,
            limit_s=_ELECTION_TIMEOUT_S,
            events=self._events,
        )
        self._tolerance_watch = ToleranceWatch(
            node=self._node, events=self._events
        )
        self._state_file = FleetStateFile(
            data_directory=self._log_directory.parent,
            report=self._odd_values.report,
        )
        process.observe(self._change_settings)

    @property
    def node(self) -> ControlNode:
        """Node of the replicated log."""
        return self._node

    @property
    def fleet(self) -> FleetState:
        """Fleet state: members, primaries and the route table."""
        return self._fleet

    @property
    def leases(self) -> LeaseGrants:
        """Leases on the primaries."""
        return self._leases

    @property
    def poller(self) -> MemberPoller:
        """Poller of the members' status."""
        return self._poller

    @property
    def tolerance_watch(self) -> ToleranceWatch:
        """Losses that the control group bears."""
        return self._tolerance_watch

    async def run(self) -> None:
        """Serve until the process receives a stop signal."""
        settings = self._process.settings
        await self._start_node()
        if self._node.view.initialised:
            with suppress(OSError):
                remove_founding_record(self._log_directory)
        saved = self._state_file.load()
        self._fleet.restore(saved.entries, saved.routes)
        server = Server(
            [self._node.service, self._fleet_service()],
            codec=MessagePackCodec(report=self._odd_values.report),
        )
        await listen(
            self._process,
            settings.internal_address,
            partial(server.start, settings.ip, settings.internal_ports[0]),
        )
        # These names identify the tasks in the log, field `task`.
        for name, run in (
            ('formation', self._formation.run),
            ('hub', self._fleet.watch_routes),
            ('feed', self._sync_client.run),
            ('watch', self._poller.run),
            ('leases', self._leases.run),
            ('handover', self._forward_to_new_leaders),
            ('directory', self._save_fleet_state),
            ('storage', self._storage_watch.run),
            ('tolerance', self._tolerance_watch.run),
        ):
            self._tasks.start_soon(
                self._process.boundary.keep_running, name, run
            )
        await self._start_operations()
        await self._process.wait_for_stop()
        async with anyio.create_task_group() as stopping:
            stopping.start_soon(self._formation.leave)
            await anyio.sleep(_STOP_DELAY_S)
        server.close()

    async def forward_entries(self, entries: tuple[MemberEntry, ...]) -> bool:
        """Send member entries to the leader; return whether it accepted."""
        reply = await self.call_leader(
            MERGE, MergeRequest(entries=entries), timeout_s=_MERGE_TIMEOUT_S
        )
        return reply is not None and reply.accepted

    async def propose(self, command: PublishRoutes) -> bool:
        """Propose a route table; return whether it is committed."""
        with anyio.move_on_after(_FORWARD_TIMEOUT_S):
            proposed = await self._node.propose(command)
            return isinstance(proposed, Ok)
        return False

    async def read_routes(self, request: RoutesRequest) -> RoutesReply:
        """Return the newest route table, confirmed by a majority."""
        with anyio.move_on_after(_FORWARD_TIMEOUT_S):
            state = await self._node.read_state()
            if isinstance(state, Ok) and state.ok_value.routes.version:
                return RoutesReply(content=state.ok_value.routes.content)
        return RoutesReply(content=None)

    async def call_leader(
        self,
        method: Method[RequestT, ReplyT],
        request: RequestT,
        *,
        timeout_s: float = _FORWARD_TIMEOUT_S,
    ) -> ReplyT | None:
        """Call the leader; None if it is unknown or does not answer."""
        leader = self._node.view.leader_address
        if leader is None:
            return None
        try:
            return await self._peers.call(
                leader, method, request, timeout_s=timeout_s
            )
        except PeerCallError:
            return None

    async def _start_node(self) -> None:
        try:
            await self._tasks.start(self._node.run)
        except StorageError as error:
            raise StartRefusedError(
                exit_code=ExitCode.storage, reason=str(error)
            ) from error

    def _report_storage_failure(self, reason: str) -> None:
        self._events.emit(ProcessEvent.disk_refused, reason=reason)

    def _read_founding_record(self, *, is_reset: bool) -> tuple[str, ...]:
        settings = self._process.settings
        seeds = settings.internal_control_addresses
        is_founder = settings.bootstrap and settings.internal_address in seeds
        if is_founder and not is_reset:
            # Usually it has been written before the imports.
            with suppress(OSError):
                write_founding_record(self._log_directory, seeds)
        return read_founding_record(self._log_directory)

    async def _start_operations(self) -> None:
        for name in _DEFERRED_MODULES:
            await self._import_module(name)
            await anyio.sleep(_IMPORT_PAUSE_S)
        from lavendergate.daemon.control_operations import (  # noqa: WPS433
            ControlOperations,
        )

        operations = ControlOperations(
            control=self, process=self._process, tasks=self._tasks
        )
        await operations.start()

    async def _import_module(self, name: str) -> None:
        while True:
            with self._process.boundary.contain('deferred import'):
                import_module(name)
                return
            await anyio.sleep(_IMPORT_RETRY_S)

    def _fleet_service(self) -> UnaryService:
        return UnaryService(
            implementations={
                SYNC: self._fleet.sync,
                MERGE: self._handle_merge,
                PROPOSE_ROUTES: self._handle_proposal,
                READ_ROUTES: self.read_routes,
                JOIN: self._handle_join,
                LEAVE: self._formation.handle_leave,
                REPORT_SILENCES: self._formation.handle_silences,
            }
        )

    async def _handle_merge(self, request: MergeRequest) -> MergeReply:
        return self._fleet.handle_merge(request)

    async def _handle_join(self, request: JoinRequest) -> JoinReply:
        return self._formation.join(request)

    async def _handle_proposal(
        self, request: RoutesProposal
    ) -> RoutesProposalReply:
        return RoutesProposalReply(accepted=await self.propose(request.command))

    async def _forward_to_new_leaders(self) -> None:
        """Send all member entries to each new leader."""
        informed_leader: tuple[str | None, int] = (None, 0)
        while True:
            await anyio.sleep(_LEADER_POLL_S)
            view = self._node.view
            current_leader = (view.leader_address, view.term)
            if (
                view.is_leader
                or current_leader == informed_leader
                or current_leader[0] is None
            ):
                continue
            entries = tuple(self._fleet.directory.entries.values())
            if await self.forward_entries(entries):
                informed_leader = current_leader

    async def _save_fleet_state(self) -> None:
        """Save the fleet state periodically if it has changed."""
        saved_version = self._fleet.version
        while True:
            await anyio.sleep(_SAVE_INTERVAL_S)
            if self._fleet.version != saved_version:
                version = self._fleet.version
                state = SavedFleetState(
                    entries=tuple(self._fleet.directory.entries.values()),
                    routes=self._fleet.routes,
                )
                if await self._save(state):
                    saved_version = version
                else:
                    await anyio.sleep(_FAILED_SAVE_DELAY_S)

    async def _save(self, state: SavedFleetState) -> bool:
        """Return whether the state was saved."""
        try:
            await run_in_thread(self._state_file.save, state)
        except OSError as error:
            self._process.boundary.report('directory file', error)
            return False
        return True

    def _change_settings(self, settings: HostSettings) -> None:
        self._sync_client.change_seeds(settings.internal_control_addresses)
        self._formation.change_seeds(settings.internal_control_addresses)


async def run_control(process: HostedProcess) -> None:
    """Run the control role until a stop signal, then end the process."""
    storage, damage = await open_storage(process)
    async with anyio.create_task_group() as tasks:
        control = HostedControl(
            process=process, tasks=tasks, storage=storage, damage=damage
        )
        await control.run()
        process.exit()
