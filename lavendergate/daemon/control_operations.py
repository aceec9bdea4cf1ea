"""Calls of members and operators, and takeover, on a control host."""

from collections.abc import Callable
from functools import partial
from operator import attrgetter

import anyio
from anyio.abc import TaskGroup
from result import Ok

from lavendergate.controllers.promotions.new_terms import NewTerms
from lavendergate.controllers.takeover import TakeoverController
from lavendergate.controllers.tolerance_watch import ToleranceWatch
from lavendergate.core.bounds.decoding import InvalidValueError
from lavendergate.core.commands import PublishRoutes
from lavendergate.core.control_routes import pack_routes, unpack_routes
from lavendergate.core.fleet_directory import (
    MemberEntry,
    departure_of,
    is_departure_known,
)
from lavendergate.core.loss_tolerance import LossTolerance
from lavendergate.core.routes import NO_ROUTES, RoutesVersion, RouteTable
from lavendergate.core.types import HostId, UpstreamId
from lavendergate.daemon.connection_gates import ConnectionGates
from lavendergate.daemon.hosted_control import HostedControl
from lavendergate.daemon.hosted_process import HostedProcess, boottime_s
from lavendergate.daemon.listening import listen, serve_aside
from lavendergate.observability.exposition import HttpMetrics
from lavendergate.platform.control_calls import (
    MAX_BODY_BYTES,
    ControlCalls,
    ControlHttp,
)
from lavendergate.platform.documents import decode_accepted_routes
from lavendergate.platform.promotion_calls import PlatformPromotions
from lavendergate.platform.readiness import METRICS_PORT, serve_metrics
from lavendergate.rpc.fleet_service import (
    PROPOSE_ROUTES,
    READ_ROUTES,
    RoutesProposal,
    RoutesReply,
    RoutesRequest,
)
from lavendergate.rpc.http import serve_http
from lavendergate.supervision.boundary import GuardedTasks


class ControlOperations(ControlCalls):
    """Serves the calls of members and operators, and fails groups over.

    Parameters
    ----------
    control
        Log node and fleet state of this host.
    process
        Settings, stop signal and event log of the process.
    tasks
        Task group of the role.
    """

    def __init__(
        self,
        *,
        control: HostedControl,
        process: HostedProcess,
        tasks: TaskGroup,
    ) -> None:
        self._control = control
        self._node = control.node
        self._fleet = control.fleet
        self._process = process
        self._tasks = tasks
        self._metrics = HttpMetrics()
        process.boundary.observe(self._metrics.count_contained_error)
        self._metrics.show_start(process.end.started_at, process.end.previous)
        self._routes = RouteTable()
        self._unreadable_version = NO_ROUTES
        settings = process.settings
        self._gates = ConnectionGates(
            settings=settings, events=process.events, metrics=self._metrics
        )
        process.observe(self._gates.change)
        self._new_terms = NewTerms(
            fleet=self._fleet,
            poller=control.poller,
            routes=self._current_routes,
            tasks=GuardedTasks(tasks=tasks, boundary=process.boundary),
            clock=anyio.current_time,
            bound_s=process.own_settings.first_write_hold_s,
        )
        self._takeover = TakeoverController(
            node=self._node,
            fleet=self._fleet,
            poller=control.poller,
            leases=control.leases,
            orders=PlatformPromotions(address=settings.cloud_api.address),
            routes=self._current_routes,
            host_id=HostId(settings.node_name),
            clock=anyio.current_time,
            real_clock=boottime_s,
            events=process.events,
            metrics=self._metrics,
            boundary=process.boundary,
        )

    async def start(self) -> None:
        """Start the HTTP listener, metrics and takeover in the task group."""
        settings = self._process.settings
        if settings.bind_addrs.control is None:
            raise ValueError(
                'bindAddrs.control is missing in the settings file'
            )
        serve = partial(
            serve_http,
            settings.bind_addrs.control,
            ControlHttp(calls=self).handle,
            max_body_bytes=MAX_BODY_BYTES,
            boundary=self._process.boundary,
            gate=self._gates.callers(),
            max_buffered_bytes=self._gates.limits.buffered_bytes,
        )
        await listen(
            self._process,
            settings.bind_addrs.control,
            partial(self._tasks.start, serve),
        )
        self._metrics.is_leader.set_function(
            lambda: int(self._fleet.is_leading)
        )
        self._metrics.routes_version.set_function(
            lambda: self._node.view.state.routes.version
        )
        self._metrics.log_storage_wait.set_function(
            lambda: self._node.storage_wait_s
        )
        self._show_tolerance()
        for name, run in (
            ('metrics', self._serve_metrics),
            ('takeover', self._takeover.run),
        ):
            self._tasks.start_soon(
                self._process.boundary.keep_running, name, run
            )

    async def announce(self, entry: MemberEntry) -> bool:
        """Merge an announcement; see the base class."""
        is_changed = self._fleet.merge((entry,))
        if self._fleet.is_leading:
            return True
        if not is_changed and self._node.view.has_quorum:
            return True
        return await self._control.forward_entries((entry,))

    async def remove_member(
        self, upstream_id: UpstreamId, born: int | None
    ) -> bool:
        """Remove a start of a member; see the base class."""
        known = self._fleet.directory.entries.get(upstream_id)
        if known is None:
            # Another host may know the member.
            return self._fleet.is_leading
        departed = departure_of(known, born)
        if departed is None:
            if not is_departure_known(known, born):
                return False
            departed = known
        self._fleet.merge((departed,))
        return self._fleet.is_leading or await self._control.forward_entries(
            (departed,)
        )

    async def publish_routes(
        self, version: RoutesVersion, content: bytes
    ) -> bool:
        """Publish a route table; see the base class."""
        if version <= self._node.view.state.routes.version:
            # The applied state is committed, so this version was accepted
            # before or is superseded.
            return True
        command = PublishRoutes(version=version, content=pack_routes(content))
        if self._node.view.is_leader:
            return await self._control.propose(command)
        reply = await self._control.call_leader(
            PROPOSE_ROUTES, RoutesProposal(command=command)
        )
        return reply is not None and reply.accepted

    async def read_routes(self) -> bytes | None:
        """Return the newest route table; see the base class."""
        request = RoutesRequest()
        if self._node.view.is_leader:
            reply = await self._control.read_routes(request)
        else:
            forwarded = await self._control.call_leader(READ_ROUTES, request)
            reply = forwarded or RoutesReply(content=None)
        if reply.content is None:
            return None
        try:
            return unpack_routes(reply.content)
        except InvalidValueError as error:
            # Another host may have the table; this one is not sure of it.
            self._process.boundary.report('routes', error)
            return None

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

    def _show_tolerance(self) -> None:
        watch = self._control.tolerance_watch
        for gauge, value_of in (
            (self._metrics.control_voters, attrgetter('voters')),
            (self._metrics.control_present, attrgetter('present')),
            (self._metrics.control_losses_borne, attrgetter('borne')),
        ):
            gauge.set_function(partial(_tolerance_value, watch, value_of))

    def _current_routes(self) -> RouteTable:
        record = self._node.view.state.routes
        if record.version != self._routes.version:
            decoded = decode_accepted_routes(record.content)
            if isinstance(decoded, Ok):
                self._routes = decoded.ok_value
            elif self._unreadable_version != record.version:
                self._unreadable_version = record.version
                self._process.boundary.report(
                    'routes', InvalidValueError(decoded.err_value)
                )
        return self._routes


def _tolerance_value(
    watch: ToleranceWatch, value_of: Callable[[LossTolerance], int]
) -> int:
    tolerance = watch.tolerance
    return 0 if tolerance is None else value_of(tolerance)
