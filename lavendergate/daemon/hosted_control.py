"""The control role on the users' platform."""

import os
from importlib import import_module
from pathlib import Path
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
from lavendergate.controllers.member_poller import MemberPoller
from lavendergate.core.commands import PublishRoutes
from lavendergate.core.consensus.types import NodeOptions
from lavendergate.core.fleet_directory import MemberEntry
from lavendergate.core.types import HostId
from lavendergate.daemon.hosted import HostedProcess, real_time_s
from lavendergate.daemon.supervision import keep_running
from lavendergate.observability.session_events import SessionEvent
from lavendergate.platform.members import LineMemberDialer
from lavendergate.platform.settings_file import HostSettings
from lavendergate.rpc.codec import MessagePackCodec
from lavendergate.rpc.fleet_service import (
    JOIN,
    MERGE,
    PROPOSE_FLEET,
    READ_ROUTES,
    SYNC,
    FleetProposal,
    FleetProposalReply,
    JoinReply,
    JoinRequest,
    MergeReply,
    MergeRequest,
    PrimaryReachability,
    RoutesReply,
    RoutesRequest,
    SyncReply,
)
from lavendergate.rpc.peers import PeerCallError, PeerClient
from lavendergate.rpc.service import Method, UnaryService
from lavendergate.rpc.transport import GrpcTransport
from lavendergate.storage.directory_file import (
    DirectoryFile,
    SavedDirectory,
)
from lavendergate.storage.recovery import open_or_replace

RequestT = TypeVar('RequestT')
ReplyT = TypeVar('ReplyT')

# Outlasts a round trip between regions and a slow sync several times over.
_ELECTION_TIMEOUT_S = 0.7
_HEARTBEAT_INTERVAL_S = 0.25
# After a loss of power all hosts start together, and none leads.
_FIRST_TIMEOUT_S = 0.2
# A snapshot replaces so many entries: a route table may take tens of
# kilobytes, and the disk and the memory are small.
_ENTRIES_PER_SNAPSHOT = 64
_RETAINED_ENTRIES = 16
# Callers move on after a second without an answer.
_FORWARD_TIMEOUT_S = 0.8
_MERGE_TIMEOUT_S = 0.6
_DIAL_TIMEOUT_S = 0.5
_STOP_DELAY_S = 0.3
_LEADER_POLL_S = 0.1
_SAVE_INTERVAL_S = 0.5
_SOURCE_BYTES = 8
# Above all versions, so that no answer carries a route table.
_NEWEST_ROUTES = 1 << 62
# What proxies do not need at once is imported after the first answers to
# them: imports take most of a start.
_LATER_MODULES = (
    'lavendergate.controllers.takeover',
    'lavendergate.platform.control_calls',
    'lavendergate.observability.exposition',
)
# Pause between imports, in which waiting calls are answered, in seconds.
_IMPORT_PAUSE_S = 0.004


class HubSink(SyncReceiver):
    """Brings what the leader tells into a follower's directory.

    Parameters
    ----------
    hub
        The directory.
    """

    def __init__(self, *, hub: FleetState) -> None:
        self._hub = hub

    @property
    def routes_version(self) -> int:
        """The log brings the route table, so none is asked for."""
        return _NEWEST_ROUTES

    def primary_reach(self) -> tuple[PrimaryReachability, ...]:
        """Control hosts report no primaries."""
        return ()

    def apply(self, reply: SyncReply, sent_at: float) -> None:
        """Take an answer of the leader."""
        self._hub.merge(reply.entries)
        for notice in reply.primaries:
            self._hub.publish_primary(notice)


class HostedControl:
    """Keeps the log and the directory, together with the other hosts.

    Parameters
    ----------
    process
        Settings, signals and the event log.
    tasks
        Task group of the role.
    """

    def __init__(self, *, process: HostedProcess, tasks: TaskGroup) -> None:
        settings = process.settings
        self._process = process
        self._tasks = tasks
        self._events = process.events
        self._host_id = HostId(settings.node_name)
        self._peers = PeerClient()
        directory = Path(settings.data_dir or '/tmp/control')  # noqa: S108
        storage, damage = open_or_replace(directory / 'log', self._host_id)
        if damage is not None:
            self._events.emit(SessionEvent.log_replaced, reason=damage)
        self._node = ControlNode(
            host_id=self._host_id,
            address=settings.internal_address,
            transport=GrpcTransport(),
            storage=storage,
            options=DriverOptions(
                node=NodeOptions(
                    election_timeout_s=_ELECTION_TIMEOUT_S,
                    heartbeat_interval_s=_HEARTBEAT_INTERVAL_S,
                    first_election_timeout_s=_FIRST_TIMEOUT_S,
                ),
                entries_per_snapshot=_ENTRIES_PER_SNAPSHOT,
                retained_entries=_RETAINED_ENTRIES,
            ),
        )
        self._hub = FleetState(
            node=self._node,
            source=f'{settings.node_name}/{os.urandom(_SOURCE_BYTES).hex()}',
            clock=anyio.current_time,
            real_clock=real_time_s,
            events=self._events,
        )
        self._watch = MemberPoller(
            fleet=self._hub,
            dialer=LineMemberDialer(
                host=settings.node_name, timeout_s=_DIAL_TIMEOUT_S
            ),
            clock=anyio.current_time,
            real_clock=real_time_s,
        )
        self._formation = GroupFormation(
            node=self._node,
            address=settings.internal_address,
            seeds=settings.control_hosts,
            bootstrap=settings.bootstrap,
            peers=self._peers,
            events=self._events,
        )
        self._feed = ControlSyncClient(
            host_id=self._host_id,
            is_proxy=False,
            seeds=settings.control_hosts,
            receiver=HubSink(hub=self._hub),
            peers=self._peers,
            events=self._events,
            real_clock=real_time_s,
            own_address=settings.internal_address,
        )
        self._directory_file = DirectoryFile(folder=directory)
        process.observe(self._change_settings)

    @property
    def node(self) -> ControlNode:
        """Node of the replicated log."""
        return self._node

    @property
    def hub(self) -> FleetState:
        """Directory of the members."""
        return self._hub

    @property
    def watch(self) -> MemberPoller:
        """Questions to the members."""
        return self._watch

    async def run(self) -> None:
        """Serve until the process is told to stop."""
        settings = self._process.settings
        await self._tasks.start(self._node.run)
        saved = self._directory_file.load()
        self._hub.restore(saved.entries, saved.routes)
        server = Server(
            [self._node.service, self._fleet_service()],
            codec=MessagePackCodec(),
        )
        await server.start(settings.ip, settings.internal_ports[0])
        for name, run in (
            ('formation', self._formation.run),
            ('hub', self._hub.watch_routes),
            ('feed', self._feed.run),
            ('watch', self._watch.run),
            ('handover', self._push_to_leaders),
            ('directory', self._save_directory),
        ):
            self._tasks.start_soon(keep_running, name, run, self._events)
        await self._start_duties()
        await self._process.wait_for_stop()
        await anyio.sleep(_STOP_DELAY_S)
        server.close()

    async def push(self, entries: tuple[MemberEntry, ...]) -> bool:
        """Tell the leader what this host heard; return whether it took it."""
        reply = await self.ask_leader(
            MERGE, MergeRequest(entries=entries), timeout_s=_MERGE_TIMEOUT_S
        )
        return reply is not None and reply.accepted

    async def propose(self, command: PublishRoutes) -> bool:
        """Propose a route table; return whether it is committed."""
        with anyio.move_on_after(_FORWARD_TIMEOUT_S):
            proposed = await self._node.propose(command)
            return isinstance(proposed, Ok)
        return False

    async def answer_routes(self, request: RoutesRequest) -> RoutesReply:
        """Return the newest route table, confirmed by a majority."""
        with anyio.move_on_after(_FORWARD_TIMEOUT_S):
            read = await self._node.read_state()
            if isinstance(read, Ok) and read.ok_value.routes.version:
                return RoutesReply(content=read.ok_value.routes.content)
        return RoutesReply(content=None)

    async def ask_leader(
        self,
        method: Method[RequestT, ReplyT],
        request: RequestT,
        *,
        timeout_s: float = _FORWARD_TIMEOUT_S,
    ) -> ReplyT | None:
        """Call the leader; None if it is not known or does not answer."""
        leader = self._node.view.leader_address
        if leader is None:
            return None
        try:
            return await self._peers.call(
                leader, method, request, timeout_s=timeout_s
            )
        except PeerCallError:
            return None

    async def _start_duties(self) -> None:
        for name in _LATER_MODULES:
            import_module(name)
            await anyio.sleep(_IMPORT_PAUSE_S)
        from lavendergate.daemon.control_duties import (  # noqa: WPS433
            ControlDuties,
        )

        duties = ControlDuties(
            control=self, process=self._process, tasks=self._tasks
        )
        await duties.start()

    def _fleet_service(self) -> UnaryService:
        return UnaryService(
            implementations={
                SYNC: self._hub.sync,
                MERGE: self._answer_merge,
                PROPOSE_FLEET: self._answer_proposal,
                READ_ROUTES: self.answer_routes,
                JOIN: self._answer_join,
            }
        )

    async def _answer_merge(self, request: MergeRequest) -> MergeReply:
        return self._hub.handle_merge(request)

    async def _answer_join(self, request: JoinRequest) -> JoinReply:
        return self._formation.join(request)

    async def _answer_proposal(
        self, request: FleetProposal
    ) -> FleetProposalReply:
        return FleetProposalReply(accepted=await self.propose(request.command))

    async def _push_to_leaders(self) -> None:
        """Tell each new leader what this host heard from members."""
        told: tuple[str | None, int] = (None, 0)
        while True:
            await anyio.sleep(_LEADER_POLL_S)
            view = self._node.view
            current = (view.leader_address, view.term)
            if view.is_leader or current == told or current[0] is None:
                continue
            entries = tuple(self._hub.directory.entries.values())
            if await self.push(entries):
                told = current

    async def _save_directory(self) -> None:
        """Save the directory soon after it changed."""
        saved = self._hub.version
        while True:
            await anyio.sleep(_SAVE_INTERVAL_S)
            if self._hub.version != saved:
                saved = self._hub.version
                directory = SavedDirectory(
                    entries=tuple(self._hub.directory.entries.values()),
                    routes=self._hub.routes,
                )
                await run_in_thread(self._directory_file.save, directory)

    def _change_settings(self, settings: HostSettings) -> None:
        self._feed.change_seeds(settings.control_hosts)
        self._formation.change_seeds(settings.control_hosts)


async def run_control(process: HostedProcess) -> None:
    """Run the control role until the process is told to stop."""
    async with anyio.create_task_group() as tasks:
        await HostedControl(process=process, tasks=tasks).run()
        process.exit()
