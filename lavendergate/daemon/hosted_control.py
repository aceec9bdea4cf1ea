"""The control role on the users' platform."""

import secrets
from functools import partial
from pathlib import Path
from typing import TypeVar

import anyio
from anyio.abc import TaskGroup
from anyio.to_thread import run_sync as run_in_thread
from grpclib.server import Server
from result import Err, Ok

from lavendergate.controllers.control_feed import ControlFeed, FeedSink
from lavendergate.controllers.control_node import ControlNode
from lavendergate.controllers.driver_options import DriverOptions
from lavendergate.controllers.fleet_hub import FleetHub
from lavendergate.controllers.group_formation import GroupFormation
from lavendergate.controllers.member_watch import MemberWatch
from lavendergate.controllers.takeover import TakeoverController
from lavendergate.core.commands import PublishRoutes
from lavendergate.core.consensus.types import NodeOptions
from lavendergate.core.control_routes import pack_routes, unpack_routes
from lavendergate.core.fleet_directory import MemberEntry, departed
from lavendergate.core.routes import RoutesVersion, RouteTable
from lavendergate.core.types import HostId, UpstreamId
from lavendergate.daemon.hosted import HostedProcess, real_time_s
from lavendergate.daemon.supervision import keep_running
from lavendergate.observability.exposition import SessionMetrics
from lavendergate.observability.session_events import SessionEvent
from lavendergate.platform.control_calls import (
    MAX_BODY_BYTES,
    ControlCalls,
    ControlHttp,
)
from lavendergate.platform.documents import decode_routes
from lavendergate.platform.members import LineMemberDialer
from lavendergate.platform.promotion_calls import PlatformPromotions
from lavendergate.platform.readiness import serve_metrics
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
    PrimaryReach,
    RoutesReply,
    RoutesRequest,
    SyncReply,
)
from lavendergate.rpc.http import serve_http
from lavendergate.rpc.peers import PeerCallError, Peers
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


class HubSink(FeedSink):
    """Brings what the leader tells into a follower's directory.

    Parameters
    ----------
    hub
        The directory.
    """

    def __init__(self, *, hub: FleetHub) -> None:
        self._hub = hub

    @property
    def routes_version(self) -> int:
        """The log brings the route table, so none is asked for."""
        return _NEWEST_ROUTES

    def reach(self) -> tuple[PrimaryReach, ...]:
        """Control hosts report no primaries."""
        return ()

    def apply(self, reply: SyncReply, sent_at: float) -> None:
        """Take an answer of the leader."""
        self._hub.merge(reply.entries)
        for notice in reply.primaries:
            self._hub.notice_primary(notice)


class HostedControl(ControlCalls):
    """Decides, together with the other control hosts.

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
        self._peers = Peers()
        self._metrics = SessionMetrics()
        self._routes = RouteTable()
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
                    first_timeout_s=_FIRST_TIMEOUT_S,
                ),
                entries_per_snapshot=_ENTRIES_PER_SNAPSHOT,
                retained_entries=_RETAINED_ENTRIES,
            ),
        )
        self._hub = FleetHub(
            node=self._node,
            source=f'{settings.node_name}/{secrets.token_hex(_SOURCE_BYTES)}',
            clock=anyio.current_time,
            real_clock=real_time_s,
            events=self._events,
        )
        self._watch = MemberWatch(
            hub=self._hub,
            dialer=LineMemberDialer(
                host=settings.node_name, timeout_s=_DIAL_TIMEOUT_S
            ),
            clock=anyio.current_time,
            real_clock=real_time_s,
        )
        self._takeover = TakeoverController(
            node=self._node,
            hub=self._hub,
            watch=self._watch,
            orders=PlatformPromotions(address=settings.cloud_api.address),
            routes=self._current_routes,
            host_id=self._host_id,
            clock=anyio.current_time,
            real_clock=real_time_s,
            events=self._events,
            metrics=self._metrics,
        )
        self._formation = GroupFormation(
            node=self._node,
            address=settings.internal_address,
            seeds=settings.control_hosts,
            bootstrap=settings.bootstrap,
            peers=self._peers,
            events=self._events,
        )
        self._feed = ControlFeed(
            host_id=self._host_id,
            is_proxy=False,
            seeds=settings.control_hosts,
            sink=HubSink(hub=self._hub),
            peers=self._peers,
            events=self._events,
            real_clock=real_time_s,
            own_address=settings.internal_address,
        )
        self._directory_file = DirectoryFile(folder=directory)
        process.observe(self._change_settings)

    async def run(self) -> None:
        """Serve until the process is told to stop."""
        settings = self._process.settings
        if settings.bind_addrs.control is None:
            raise ValueError('the settings name no address for control')
        await self._tasks.start(self._node.run)
        saved = self._directory_file.load()
        self._hub.restore(saved.entries, saved.routes)
        server = Server(
            [self._node.service, self._fleet_service()],
            codec=MessagePackCodec(),
        )
        await server.start(settings.ip, settings.internal_ports[0])
        http = ControlHttp(calls=self)

        await self._tasks.start(
            partial(
                serve_http,
                settings.bind_addrs.control,
                http.handle,
                max_body_bytes=MAX_BODY_BYTES,
            )
        )
        self._metrics.is_leader.set_function(lambda: int(self._hub.is_leading))
        self._metrics.routes_version.set_function(
            lambda: self._node.view.state.routes.version
        )
        await self._tasks.start(serve_metrics, settings.ip, self._metrics.text)
        for name, run in (
            ('formation', self._formation.run),
            ('hub', self._hub.watch_log),
            ('feed', self._feed.run),
            ('watch', self._watch.run),
            ('takeover', self._takeover.run),
            ('handover', self._push_to_leaders),
            ('directory', self._save_directory),
        ):
            self._tasks.start_soon(keep_running, name, run, self._events)
        await self._process.wait_for_stop()
        await anyio.sleep(_STOP_DELAY_S)
        server.close()

    async def announce(self, entry: MemberEntry) -> bool:
        """Take an announcement; see the port."""
        is_changed = self._hub.merge((entry,))
        if self._hub.is_leading:
            return True
        if not is_changed and self._node.view.has_quorum:
            return True
        return await self._push((entry,))

    async def depart(self, upstream_id: UpstreamId) -> bool:
        """Take a departure; see the port."""
        entry = self._hub.directory.entries.get(upstream_id)
        if entry is None:
            return True
        gone = departed(entry)
        self._hub.merge((gone,))
        return self._hub.is_leading or await self._push((gone,))

    async def publish(self, version: RoutesVersion, content: bytes) -> bool:
        """Publish a route table; see the port."""
        if version <= self._node.view.state.routes.version:
            # What is applied is committed, so the version is overtaken.
            return True
        command = PublishRoutes(version=version, content=pack_routes(content))
        if self._node.view.is_leader:
            return await self._propose(command)
        reply = await self._ask_leader(
            PROPOSE_FLEET, FleetProposal(command=command)
        )
        return reply is not None and reply.accepted

    async def published(self) -> bytes | None:
        """Return the newest route table; see the port."""
        request = RoutesRequest()
        if self._node.view.is_leader:
            reply = await self._answer_routes(request)
        else:
            asked = await self._ask_leader(READ_ROUTES, request)
            reply = asked or RoutesReply(content=None)
        return None if reply.content is None else unpack_routes(reply.content)

    def _fleet_service(self) -> UnaryService:
        return UnaryService(
            implementations={
                SYNC: self._hub.sync,
                MERGE: self._answer_merge,
                PROPOSE_FLEET: self._answer_proposal,
                READ_ROUTES: self._answer_routes,
                JOIN: self._answer_join,
            }
        )

    async def _answer_merge(self, request: MergeRequest) -> MergeReply:
        return self._hub.take_merge(request)

    async def _answer_join(self, request: JoinRequest) -> JoinReply:
        return self._formation.join(request)

    async def _answer_proposal(
        self, request: FleetProposal
    ) -> FleetProposalReply:
        return FleetProposalReply(accepted=await self._propose(request.command))

    async def _answer_routes(self, request: RoutesRequest) -> RoutesReply:
        with anyio.move_on_after(_FORWARD_TIMEOUT_S):
            read = await self._node.read_state()
            if isinstance(read, Ok) and read.ok_value.routes.version:
                return RoutesReply(content=read.ok_value.routes.content)
        return RoutesReply(content=None)

    async def _propose(self, command: PublishRoutes) -> bool:
        with anyio.move_on_after(_FORWARD_TIMEOUT_S):
            proposed = await self._node.propose(command)
            return isinstance(proposed, Ok)
        return False

    async def _push(self, entries: tuple[MemberEntry, ...]) -> bool:
        reply = await self._ask_leader(
            MERGE, MergeRequest(entries=entries), timeout_s=_MERGE_TIMEOUT_S
        )
        return reply is not None and reply.accepted

    async def _ask_leader(
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
            if await self._push(entries):
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

    def _current_routes(self) -> RouteTable:
        record = self._node.view.state.routes
        if record.version != self._routes.version:
            decoded = decode_routes(unpack_routes(record.content))
            if not isinstance(decoded, Err):
                self._routes = decoded.ok_value
        return self._routes

    def _change_settings(self, settings: HostSettings) -> None:
        self._feed.change_seeds(settings.control_hosts)
        self._formation.change_seeds(settings.control_hosts)


async def run_control(process: HostedProcess) -> None:
    """Run the control role until the process is told to stop."""
    async with anyio.create_task_group() as tasks:
        await HostedControl(process=process, tasks=tasks).run()
        process.exit()
