"""The proxy role on the users' platform."""

import anyio
from anyio.abc import TaskGroup
from result import Err

from lavendergate.controllers.control_sync import (
    ControlSyncClient,
    SyncReceiver,
)
from lavendergate.controllers.fleet_view import FleetView
from lavendergate.controllers.positions import PrimaryPositions
from lavendergate.controllers.session_pools import SessionPools
from lavendergate.core.control_routes import unpack_routes
from lavendergate.core.fleet_directory import MemberAvailability, MemberEntry
from lavendergate.core.sessions.shares import (
    ConnectionShare,
    connection_share,
)
from lavendergate.core.types import HostId
from lavendergate.daemon.hosted import HostedProcess, real_time_s
from lavendergate.daemon.supervision import keep_running, report_failure
from lavendergate.filters.chain import compose
from lavendergate.filters.sessions.local import LocalFilter
from lavendergate.filters.sessions.member_selection import MemberSelector
from lavendergate.filters.sessions.route import RouteFilter
from lavendergate.filters.sessions.single_statement import SingleStatementFilter
from lavendergate.filters.sessions.transaction import TransactionFilter
from lavendergate.frontend.caller_channel import CallerChannel
from lavendergate.frontend.session_service import SessionService
from lavendergate.observability.exposition import SessionMetrics
from lavendergate.observability.log import EventLog
from lavendergate.observability.session_events import SessionEvent
from lavendergate.platform.callers import serve_callers
from lavendergate.platform.documents import decode_routes
from lavendergate.platform.members import LineMemberDialer
from lavendergate.platform.readiness import serve_metrics, serve_readiness
from lavendergate.platform.settings_file import HostSettings
from lavendergate.rpc.fleet_service import PrimaryReach, SyncReply
from lavendergate.rpc.peers import Peers

_DIAL_TIMEOUT_S = 0.7
# The balancer notices within two questions, one a second, that the host does
# not take callers any more; until then it still sends some.
_NOTICE_S = 2.3
_EXIT_MARGIN_S = 0.5
_POLL_S = 0.05
_REACH_AGE_S = 1.0
_MS_PER_S = 1000


class ViewSink(SyncReceiver):
    """Brings what control tells into the view of a proxy.

    Parameters
    ----------
    view
        The view.
    pools
        Connections; those to members that are gone are closed.
    positions
        Takes the positions that control read.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        pools: SessionPools,
        positions: PrimaryPositions,
        events: EventLog,
    ) -> None:
        self._positions = positions
        self._view = view
        self._pools = pools
        self._events = events

    @property
    def routes_version(self) -> int:
        """Version of the route table in force."""
        return self._view.routes.version

    def primary_reach(self) -> tuple[PrimaryReach, ...]:
        """Return how the primaries that were used lately are reached."""
        found = []
        now = anyio.current_time()
        for service in self._view.routes.services:
            primary = self._view.primary_of(service)
            link = (
                None
                if primary is None
                else self._pools.links.get(primary.upstream_id)
            )
            if primary is None or link is None:
                continue
            is_recent = now - link.answered_at <= _REACH_AGE_S
            has_failed = (
                link.failing_since is not None
                and now - link.failing_since >= _REACH_AGE_S / 2
            )
            if is_recent or has_failed:
                found.append(
                    PrimaryReach(
                        service=service,
                        upstream_id=primary.upstream_id,
                        reachable=is_recent and not has_failed,
                    )
                )
        return tuple(found)

    def apply(self, reply: SyncReply, sent_at: float) -> None:
        """Take an answer of control."""
        if reply.is_leader:
            self._view.proxies = reply.proxies
        self._adopt_routes(reply.routes)
        for entry in self._view.merge(reply.entries):
            self._note_member(entry)
        self._view.record_primaries(reply.primaries)
        for notice in reply.positions:
            if notice.position.term >= self._view.term_of(notice.service):
                asked_at = sent_at - notice.age_ms / _MS_PER_S
                self._positions.add(notice.service, notice.position, asked_at)

    def _adopt_routes(self, content: bytes | None) -> None:
        if not content:
            return
        table = decode_routes(unpack_routes(content))
        if isinstance(table, Err):
            # Control hosts accept valid documents only.
            report_failure('routes', ValueError(table.err_value), self._events)
            return
        if self._view.adopt_routes(table.ok_value):
            self._events.emit(
                SessionEvent.routes_in_force, version=table.ok_value.version
            )

    def _note_member(self, entry: MemberEntry) -> None:
        if entry.availability == MemberAvailability.gone:
            self._pools.remove_member(entry.upstream_id)


class HostedProxy:
    """Serves callers.

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
        self._is_draining = False
        self._peers = Peers()
        self._metrics = SessionMetrics()
        self._view = FleetView(clock=anyio.current_time)
        self._pools = SessionPools(
            dialer=LineMemberDialer(
                host=settings.node_name, timeout_s=_DIAL_TIMEOUT_S
            ),
            tasks=tasks,
            clock=anyio.current_time,
            share=self._share,
            events=self._events,
            metrics=self._metrics,
        )
        self._positions = PrimaryPositions(
            view=self._view,
            pools=self._pools,
            tasks=tasks,
            clock=real_time_s,
            monotonic=anyio.current_time,
        )
        self._feed = ControlSyncClient(
            host_id=HostId(settings.node_name),
            is_proxy=True,
            seeds=settings.control_hosts,
            receiver=ViewSink(
                view=self._view,
                pools=self._pools,
                positions=self._positions,
                events=self._events,
            ),
            peers=self._peers,
            events=self._events,
            real_clock=real_time_s,
        )
        self._service = self._build_service()
        process.observe(self._change_settings)

    @property
    def is_ready(self) -> bool:
        """Whether callers may be sent to this host."""
        return not self._is_draining and bool(self._view.routes.version)

    async def run(self) -> None:
        """Serve until the process is told to stop, then drain."""
        addresses = self._process.settings.bind_addrs
        if addresses.front is None or addresses.readiness is None:
            raise ValueError('the settings name no address for callers')
        await self._tasks.start(serve_callers, addresses.front, self._serve)
        await self._tasks.start(
            serve_readiness, addresses.readiness, lambda: self.is_ready
        )
        self._metrics.routes_version.set_function(
            lambda: self._view.routes.version
        )
        await self._tasks.start(
            serve_metrics, self._process.settings.ip, self._metrics.text
        )
        for name, run in (('feed', self._feed.run), ('pools', self._pools.run)):
            self._tasks.start_soon(keep_running, name, run, self._events)
        await self._process.wait_for_stop()
        await self._drain()

    async def _serve(self, channel: CallerChannel) -> None:
        try:
            await self._service.serve(channel)
        except Exception as error:
            # A fault in one session must not end the others.
            report_failure('session', error, self._events)

    async def _drain(self) -> None:
        self._is_draining = True
        grace_s = self._process.settings.bounds.grace_s
        began_at = anyio.current_time()
        await anyio.sleep(min(_NOTICE_S, grace_s / 2))
        self._service.close_idle()
        await anyio.sleep_until(began_at + grace_s / 2)
        self._service.end_transactions()
        while anyio.current_time() < began_at + grace_s - _EXIT_MARGIN_S:
            self._service.close_idle()
            if not self._service.session_count:
                break
            await anyio.sleep(_POLL_S)

    def _build_service(self) -> SessionService:
        positions = self._positions
        selector = MemberSelector(
            view=self._view,
            pools=self._pools,
            positions=positions,
            monotonic=anyio.current_time,
        )
        transactions = TransactionFilter(
            selector=selector,
            pools=self._pools,
            positions=positions,
            monotonic=anyio.current_time,
        )
        chain = compose(
            (
                LocalFilter(),
                RouteFilter(view=self._view),
                SingleStatementFilter(
                    selector=selector,
                    pools=self._pools,
                    positions=positions,
                    monotonic=anyio.current_time,
                ),
                transactions,
            )
        )
        return SessionService(
            chain=chain,
            transactions=transactions,
            view=self._view,
            clock=real_time_s,
            monotonic=anyio.current_time,
            events=self._events,
            metrics=self._metrics,
        )

    def _share(self, entry: MemberEntry) -> ConnectionShare:
        limits = self._view.routes.services.get(entry.service)
        return connection_share(limits, self._view.proxies)

    def _change_settings(self, settings: HostSettings) -> None:
        self._feed.change_seeds(settings.control_hosts)


async def run_proxy(process: HostedProcess) -> None:
    """Run the proxy role until the process is told to stop."""
    async with anyio.create_task_group() as tasks:
        await HostedProxy(process=process, tasks=tasks).run()
        process.exit()
