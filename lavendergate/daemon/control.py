"""The control role: replicated log, membership, failover, settings."""

from pathlib import Path

from anyio.abc import TaskGroup
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError

from lavendergate.backends.admin_mysql import MySqlMemberAdmin
from lavendergate.controllers.control_node import ControlNode
from lavendergate.controllers.failover import FailoverController
from lavendergate.controllers.failover_reports import (
    FailoverReports,
    ReportingControlLog,
)
from lavendergate.controllers.membership import MembershipController
from lavendergate.controllers.settings import SettingsController
from lavendergate.controllers.shares import ShareController
from lavendergate.controllers.status import StatusController
from lavendergate.core.types import HostId
from lavendergate.daemon.context import ProcessContext
from lavendergate.rpc.messages import AnnounceReply, AnnounceRequest
from lavendergate.rpc.methods import (
    ANNOUNCE,
    HEARTBEAT,
    PROPOSE,
    STATUS,
    SWITCHOVER,
)
from lavendergate.rpc.service import UnaryService, call, open_channel
from lavendergate.rpc.settings_service import SETTINGS_HISTORY
from lavendergate.rpc.transport import GrpcTransport

FORWARD_TIMEOUT_S = 0.5


class ControlRole:
    """Runs a node of the replicated log and the controllers of the system.

    Parameters
    ----------
    context
        Options and observability of the process.
    tasks
        Task group of the role.
    """

    def __init__(self, *, context: ProcessContext, tasks: TaskGroup) -> None:
        options = context.options
        self._context = context
        self._tasks = tasks
        self._channels: dict[str, Channel] = {}
        self._node = ControlNode(
            host_id=HostId(options.host_id),
            address=options.rpc_listen,
            data_directory=Path(options.data_directory) / 'control',
            transport=GrpcTransport(
                boundary=context.boundary, tls=context.peer_client
            ),
        )
        self._log = ReportingControlLog(node=self._node, events=context.events)
        self._reports = FailoverReports(node=self._node, events=context.events)
        self._settings = SettingsController(
            node=self._node, events=context.events
        )
        admin = MySqlMemberAdmin(
            user=options.admin_user, password=options.admin_password
        )
        self._shares = ShareController(log=self._log, admin=admin)
        self._membership = MembershipController(
            log=self._log,
            announce_key=options.announce_key.encode(),
            forward=self._forward,
            shares=self._shares,
            merge_clock=self._merge_clock,
        )
        self._failover = FailoverController(
            log=self._log,
            membership=self._membership,
            admin=admin,
            report=self._reports.report,
        )
        self._status = StatusController(
            log=self._log,
            membership=self._membership,
            failover=self._failover,
            shares=self._shares,
        )

    @property
    def services(self) -> tuple[UnaryService, ...]:
        """Services to register with the gRPC server."""
        controller_service = UnaryService(
            implementations={
                ANNOUNCE: self._membership.announce,
                HEARTBEAT: self._membership.heartbeat,
                PROPOSE: self._settings.propose,
                SETTINGS_HISTORY: self._settings.history,
                STATUS: self._status.status,
                SWITCHOVER: self._status.switchover,
            }
        )
        return self._node.service, controller_service

    async def start(self) -> None:
        """Start the log node from its storage, then all controllers."""
        await self._tasks.start(self._node.run)
        for name, run in (
            ('membership', self._membership.run),
            ('failover', self._failover.run),
            ('shares', self._shares.run),
            ('reports', self._reports.watch_leadership),
        ):
            self._tasks.start_soon(
                self._context.boundary.keep_running, name, run
            )

    async def _forward(
        self, address: str, request: AnnounceRequest
    ) -> AnnounceReply:
        channel = self._channels.get(address)
        if channel is None:
            channel = open_channel(address, tls=self._context.peer_client)
            self._channels[address] = channel
        try:
            return await call(
                channel, ANNOUNCE, request, timeout_s=FORWARD_TIMEOUT_S
            )
        except (GRPCError, StreamTerminatedError) as error:
            raise ConnectionError(str(error)) from error

    def _merge_clock(self, stamp: int) -> int:
        self._context.clock.receive(stamp)
        return self._context.clock.stamp()
