"""What a control host does for members and operators."""

from functools import partial

import anyio
from anyio.abc import TaskGroup
from result import Err

from lavendergate.controllers.takeover import TakeoverController
from lavendergate.core.commands import PublishRoutes
from lavendergate.core.control_routes import pack_routes, unpack_routes
from lavendergate.core.fleet_directory import MemberEntry, departed_entry
from lavendergate.core.routes import RoutesVersion, RouteTable
from lavendergate.core.types import HostId, UpstreamId
from lavendergate.daemon.hosted import HostedProcess, real_time_s
from lavendergate.daemon.hosted_control import HostedControl
from lavendergate.daemon.supervision import keep_running
from lavendergate.observability.exposition import SessionMetrics
from lavendergate.platform.control_calls import (
    MAX_BODY_BYTES,
    ControlCalls,
    ControlHttp,
)
from lavendergate.platform.documents import decode_routes
from lavendergate.platform.promotion_calls import PlatformPromotions
from lavendergate.platform.readiness import serve_metrics
from lavendergate.rpc.fleet_service import (
    PROPOSE_FLEET,
    READ_ROUTES,
    FleetProposal,
    RoutesReply,
    RoutesRequest,
)
from lavendergate.rpc.http import serve_http


class ControlDuties(ControlCalls):
    """Takes calls from outside and replaces primaries.

    Parameters
    ----------
    control
        This host's part in the group of control hosts.
    process
        Settings, signals and the event log.
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
        self._hub = control.hub
        self._process = process
        self._tasks = tasks
        self._metrics = SessionMetrics()
        self._routes = RouteTable()
        settings = process.settings
        self._takeover = TakeoverController(
            node=self._node,
            fleet=self._hub,
            poller=control.watch,
            orders=PlatformPromotions(address=settings.cloud_api.address),
            routes=self._current_routes,
            host_id=HostId(settings.node_name),
            clock=anyio.current_time,
            real_clock=real_time_s,
            events=process.events,
            metrics=self._metrics,
        )

    async def start(self) -> None:
        """Take calls and judge primaries in the role's task group."""
        settings = self._process.settings
        if settings.bind_addrs.control is None:
            raise ValueError('the settings name no address for control')
        await self._tasks.start(
            partial(
                serve_http,
                settings.bind_addrs.control,
                ControlHttp(calls=self).handle,
                max_body_bytes=MAX_BODY_BYTES,
            )
        )
        self._metrics.is_leader.set_function(lambda: int(self._hub.is_leading))
        self._metrics.routes_version.set_function(
            lambda: self._node.view.state.routes.version
        )
        await self._tasks.start(
            serve_metrics, settings.ip, self._metrics.render
        )
        self._tasks.start_soon(
            keep_running, 'takeover', self._takeover.run, self._process.events
        )

    async def announce(self, entry: MemberEntry) -> bool:
        """Take an announcement; see the port."""
        is_changed = self._hub.merge((entry,))
        if self._hub.is_leading:
            return True
        if not is_changed and self._node.view.has_quorum:
            return True
        return await self._control.push((entry,))

    async def depart(self, upstream_id: UpstreamId) -> bool:
        """Take a departure; see the port."""
        entry = self._hub.directory.entries.get(upstream_id)
        if entry is None:
            return True
        gone = departed_entry(entry)
        self._hub.merge((gone,))
        return self._hub.is_leading or await self._control.push((gone,))

    async def publish(self, version: RoutesVersion, content: bytes) -> bool:
        """Publish a route table; see the port."""
        if version <= self._node.view.state.routes.version:
            # What is applied is committed, so the version is overtaken.
            return True
        command = PublishRoutes(version=version, content=pack_routes(content))
        if self._node.view.is_leader:
            return await self._control.propose(command)
        reply = await self._control.ask_leader(
            PROPOSE_FLEET, FleetProposal(command=command)
        )
        return reply is not None and reply.accepted

    async def published(self) -> bytes | None:
        """Return the newest route table; see the port."""
        request = RoutesRequest()
        if self._node.view.is_leader:
            reply = await self._control.answer_routes(request)
        else:
            asked = await self._control.ask_leader(READ_ROUTES, request)
            reply = asked or RoutesReply(content=None)
        return None if reply.content is None else unpack_routes(reply.content)

    def _current_routes(self) -> RouteTable:
        record = self._node.view.state.routes
        if record.version != self._routes.version:
            decoded = decode_routes(unpack_routes(record.content))
            if not isinstance(decoded, Err):
                self._routes = decoded.ok_value
        return self._routes
