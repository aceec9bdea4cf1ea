"""The proxy role on the hosting platform."""

from collections.abc import Awaitable, Callable
from functools import partial

import anyio
from anyio.abc import TaskGroup

from lavendergate.controllers.control_sync import ControlSyncClient
from lavendergate.controllers.customers.registry import CustomerRegistry
from lavendergate.controllers.fleet_view import FleetView
from lavendergate.controllers.limits.borrower import LimitBorrower
from lavendergate.controllers.limits.owner import LimitOwner
from lavendergate.controllers.limits.reports import LimitReports
from lavendergate.controllers.positions import PrimaryPositions
from lavendergate.controllers.promotions.first_writes import FirstWrites
from lavendergate.controllers.relays.client import RelayClient
from lavendergate.controllers.relays.session import RelayDialer
from lavendergate.controllers.session_pools import SessionPools
from lavendergate.core.fleet_directory import MemberEntry
from lavendergate.core.limits.budget import Tolerance
from lavendergate.core.sessions.shares import (
    ConnectionShare,
    connection_share,
    fallback_share,
    home_share,
    is_scarce,
    relayed_share,
)
from lavendergate.core.types import FailureDomain, HostId
from lavendergate.daemon.connection_gates import ConnectionGates
from lavendergate.daemon.fleet_view_receiver import FleetViewReceiver
from lavendergate.daemon.hosted_process import HostedProcess, boottime_s
from lavendergate.daemon.listening import listen, serve_aside
from lavendergate.filters.chain import compose
from lavendergate.filters.customers.identification import IdentificationFilter
from lavendergate.filters.limits.charge import LimitFilter
from lavendergate.filters.relays.home import RelayHome
from lavendergate.filters.sessions.local import LocalFilter
from lavendergate.filters.sessions.member_selection import MemberSelector
from lavendergate.filters.sessions.route import RouteFilter
from lavendergate.filters.sessions.single_statement import SingleStatementFilter
from lavendergate.filters.sessions.transaction import TransactionFilter
from lavendergate.frontend.caller_channel import CallerChannel
from lavendergate.frontend.planned_stop import PlannedStop
from lavendergate.frontend.session_service import SessionService
from lavendergate.observability.exposition import HttpMetrics
from lavendergate.platform.callers import serve_callers
from lavendergate.platform.line_stream import make_long_lines
from lavendergate.platform.members import LineMemberDialer
from lavendergate.platform.readiness import (
    METRICS_PORT,
    serve_metrics,
    serve_readiness,
)
from lavendergate.platform.settings_file import HostSettings
from lavendergate.rpc.fleet_service import (
    RelayOffer,
)
from lavendergate.rpc.peers import PeerClient
from lavendergate.rpc.relay_stream import StreamRelayTransport, serve_relays
from lavendergate.supervision.boundary import GuardedTasks
from lavendergate.supervision.odd_values import OddValueLog

_DIAL_TIMEOUT_S = 0.7
_MS_PER_S = 1000


class HostedProxy:
    """Serves callers of the platform's statement protocol.

    Parameters
    ----------
    process
        Settings, stop signal and event log of the process.
    tasks
        Task group of the role.
    """

    def __init__(self, *, process: HostedProcess, tasks: TaskGroup) -> None:
        settings = process.settings
        self._process = process
        self._tasks = tasks
        self._events = process.events
        self._is_draining = False
        odd_values = OddValueLog(
            events=process.events, clock=anyio.current_time
        )
        self._peers = PeerClient(
            report=odd_values.report, boundary=process.boundary
        )
        self._metrics = HttpMetrics()
        process.boundary.observe(self._metrics.count_contained_error)
        self._metrics.show_start(process.end.started_at, process.end.previous)
        self._gates = ConnectionGates(
            settings=settings, events=self._events, metrics=self._metrics
        )
        self._view = FleetView(clock=anyio.current_time)
        bounds = settings.bounds
        self._customers = CustomerRegistry(
            view=self._view,
            lease_s=(
                bounds.revoke_ms / _MS_PER_S if bounds.strict_revoke else None
            ),
            real_clock=boottime_s,
            events=self._events,
        )
        guarded = GuardedTasks(tasks=tasks, boundary=process.boundary)
        transport = StreamRelayTransport(tasks=guarded)
        tolerance = Tolerance(
            window_s=settings.bounds.quota_window_s,
            overage=settings.bounds.quota_overage,
            slack=settings.bounds.quota_slack,
        )
        self._limit_owner = LimitOwner(
            own_address=settings.internal_address,
            tolerance=tolerance,
            customers=lambda: self._view.routes.customers,
            transport=transport,
            tasks=guarded,
            real_clock=boottime_s,
            events=self._events,
        )
        self._limit_borrower = LimitBorrower(
            owner=self._limit_owner,
            tolerance=tolerance,
            transport=transport,
            tasks=guarded,
            real_clock=boottime_s,
        )
        self._relays = RelayClient(
            own_address=settings.internal_address,
            transport=transport,
            tasks=guarded,
            is_scarce=self._is_scarce,
            real_clock=boottime_s,
            events=self._events,
        )
        self._pools = SessionPools(
            dialer=RelayDialer(
                relays=self._relays,
                direct=LineMemberDialer(
                    host=settings.node_name, timeout_s=_DIAL_TIMEOUT_S
                ),
            ),
            tasks=guarded,
            clock=anyio.current_time,
            share=self._share_of,
            home_share=self._home_share_of,
            events=self._events,
            metrics=self._metrics,
        )
        self._positions = PrimaryPositions(
            view=self._view,
            pools=self._pools,
            tasks=guarded,
            clock=boottime_s,
            monotonic=anyio.current_time,
        )
        self._first_writes = FirstWrites(
            view=self._view,
            pools=self._pools,
            tasks=guarded,
            clock=boottime_s,
            monotonic=anyio.current_time,
            events=self._events,
            metrics=self._metrics,
            bound_s=process.own_settings.first_write_hold_s,
        )
        self._home = RelayHome(
            view=self._view,
            pools=self._pools,
            is_home=self._relays.is_home,
            clock=anyio.current_time,
            real_clock=boottime_s,
            events=self._events,
        )
        self._sync_client = ControlSyncClient(
            host_id=HostId(settings.node_name),
            is_proxy=True,
            seeds=settings.internal_control_addresses,
            receiver=FleetViewReceiver(
                view=self._view,
                pools=self._pools,
                positions=self._positions,
                first_writes=self._first_writes,
                relays=self._relays,
                offer=self._offer,
                customers=self._customers,
                limits=self._limit_owner,
                events=self._events,
                boundary=process.boundary,
            ),
            peers=self._peers,
            events=self._events,
            real_clock=boottime_s,
        )
        self._session_service = self._build_session_service()
        process.observe(self._change_settings)

    @property
    def is_ready(self) -> bool:
        """Whether callers may be sent to this host."""
        if self._is_draining or not self._view.routes.version:
            return False
        return self._customers.can_admit_keys

    async def run(self) -> None:
        """Serve until the process receives a stop signal, then drain."""
        addresses = self._process.settings.bind_addrs
        if addresses.front is None or addresses.readiness is None:
            raise ValueError(
                'bindAddrs.front or readiness is missing in the settings file'
            )
        gates = self._gates
        await self._listen(
            addresses.front,
            serve_callers,
            addresses.front,
            self._serve,
            gate=gates.callers(self._session_service.close_oldest_idle),
            long_lines=make_long_lines(gates.limits.buffered_bytes),
        )
        await self._listen(
            addresses.readiness,
            serve_readiness,
            addresses.readiness,
            lambda: self.is_ready,
            gate=gates.operations('readiness'),
        )
        self._metrics.routes_version.set_function(
            lambda: self._view.routes.version
        )
        self._metrics.connections.labels('members').set_function(
            lambda: sum(link.opened for link in self._pools.links.values())
        )
        internal_address = self._process.settings.internal_address
        await self._listen(
            internal_address,
            serve_relays,
            internal_address,
            self._home,
            self._limit_owner,
            gate=gates.peers(),
        )
        for name, run in (
            ('metrics', self._serve_metrics),
            ('feed', self._sync_client.run),
            ('pools', self._pools.run),
            ('home', self._home.run),
        ):
            self._tasks.start_soon(
                self._process.boundary.keep_running, name, run
            )
        await self._process.wait_for_stop()
        await self._drain()

    async def _listen(
        self,
        address: str,
        serve: Callable[..., Awaitable[None]],
        *arguments: object,
        **options: object,
    ) -> None:
        serve_contained = partial(
            serve, *arguments, boundary=self._process.boundary, **options
        )
        start = partial(self._tasks.start, serve_contained)
        await listen(self._process, address, start)

    async def _serve_metrics(self) -> None:
        ip = self._process.settings.ip
        await serve_aside(
            self._process,
            f'{ip}:{METRICS_PORT}',
            partial(
                serve_metrics,
                ip,
                self._metrics.render,
                boundary=self._process.boundary,
                gate=self._gates.operations('metrics'),
            ),
        )

    async def _serve(self, channel: CallerChannel) -> None:
        try:
            await self._session_service.serve(channel)
        except Exception as error:
            # An error in one session must not end the other sessions.
            self._process.boundary.report('session', error)

    async def _drain(self) -> None:
        self._is_draining = True
        self._limit_owner.stop()
        await PlannedStop(
            sessions=self._session_service,
            home=self._home,
            grace_s=self._process.settings.bounds.grace_s,
            boundary=self._process.boundary,
        ).run()

    def _build_session_service(self) -> SessionService:
        positions = self._positions
        selector = MemberSelector(
            view=self._view,
            pools=self._pools,
            positions=positions,
            first_writes=self._first_writes,
            monotonic=anyio.current_time,
            metrics=self._metrics,
        )
        transactions = TransactionFilter(
            selector=selector,
            pools=self._pools,
            positions=positions,
            monotonic=anyio.current_time,
        )
        chain = compose(
            (
                IdentificationFilter(
                    view=self._view,
                    customers=self._customers,
                    transactions=transactions,
                    events=self._events,
                ),
                LocalFilter(),
                RouteFilter(view=self._view),
                LimitFilter(
                    borrower=self._limit_borrower,
                    reports=LimitReports(
                        customers=lambda: self._view.routes.customers,
                        monotonic=anyio.current_time,
                        events=self._events,
                        metrics=self._metrics,
                    ),
                    monotonic=anyio.current_time,
                ),
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
            clock=boottime_s,
            monotonic=anyio.current_time,
            events=self._events,
            metrics=self._metrics,
            customers=self._customers,
        )

    def _share_of(self, entry: MemberEntry) -> ConnectionShare:
        limits = self._view.routes.services.get(entry.service)
        if not self._is_scarce(entry):
            return connection_share(limits, self._view.proxies)
        if self._relays.link_for(entry) is not None:
            return relayed_share()
        if self._relays.is_home(entry):
            return self._home_share_of(entry)
        return fallback_share()

    def _home_share_of(self, entry: MemberEntry) -> ConnectionShare:
        limits = self._view.routes.services.get(entry.service)
        return home_share(
            limits,
            entry.slots,
            has_customers=self._view.routes.customers is not None,
        )

    def _is_scarce(self, entry: MemberEntry) -> bool:
        limits = self._view.routes.services.get(entry.service)
        return is_scarce(limits, self._view.proxies)

    def _offer(self, known_version: int) -> RelayOffer:
        settings = self._process.settings
        return RelayOffer(
            address=settings.internal_address,
            failure_domain=FailureDomain(settings.zone),
            is_stopping=self._is_draining,
            known_version=known_version,
        )

    def _change_settings(self, settings: HostSettings) -> None:
        self._gates.change(settings)
        self._sync_client.change_seeds(settings.internal_control_addresses)


async def run_proxy(process: HostedProcess) -> None:
    """Run the proxy role until a stop signal, then end the process."""
    async with anyio.create_task_group() as tasks:
        await HostedProxy(process=process, tasks=tasks).run()
        process.exit()
