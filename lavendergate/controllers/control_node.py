"""Node of the replicated log on a control host, with its RPC handlers."""

import random as system_random
from collections.abc import AsyncIterator, Callable
from pathlib import Path

import anyio
from anyio.abc import TaskStatus
from result import Err

from lavendergate.controllers.consensus import ConsensusDriver
from lavendergate.controllers.driver_options import DriverOptions
from lavendergate.controllers.pending import ProposalResult, StateReadResult
from lavendergate.controllers.reconfiguration import (
    Reconfiguration,
    first_configuration,
)
from lavendergate.controllers.view import ControlView
from lavendergate.core.commands import Command
from lavendergate.core.consensus.errors import NotLeader
from lavendergate.core.consensus.state import Leader
from lavendergate.core.control_records import (
    FindChangeProblem,
    empty_change_problem,
)
from lavendergate.core.types import HostId
from lavendergate.core.voter_changes import NodeProgress
from lavendergate.rpc.consensus_service import (
    ClusterInitRequest,
    ClusterReplaceRequest,
    ClusterReply,
    ConsensusHandlers,
    ExchangeReply,
    ExchangeRequest,
    HostIdentityReply,
    HostIdentityRequest,
    consensus_service,
)
from lavendergate.rpc.proposals import ProposeReply, ProposeRequest
from lavendergate.rpc.service import UnaryService
from lavendergate.rpc.transport import Transport
from lavendergate.storage.base import LogStorage
from lavendergate.storage.files import FileStorage

_MAX_VOTERS = 7


class ControlNode(ConsensusHandlers):
    """A control host's node of the replicated log.

    Parameters
    ----------
    host_id
        Host that the node runs on.
    address
        Address at which the other control hosts reach it, ``ip:port``.
    transport
        Transport to the other control hosts.
    data_directory
        Directory of the node's files.
    storage
        Storage in place of files in `data_directory`.
    find_change_problem
        Returns why a change of the settings is invalid, or None.
    options
        Timeouts and limits of the driver.
    founding_seeds
        Sorted seeds of the founding record; empty without a record.
    random
        Returns random numbers from 0 to 1, for election timeouts.

    Examples
    --------
    >>> node = ControlNode(
    ...     host_id=HostId('c1'),
    ...     address='127.0.0.1:7101',
    ...     transport=GrpcTransport(),
    ...     data_directory=Path('data'),
    ... )
    >>> async with anyio.create_task_group() as tasks:
    ...     await tasks.start(node.run)
    ...     server = Server([node.service], codec=MessagePackCodec())
    """

    def __init__(
        self,
        *,
        host_id: HostId,
        address: str,
        transport: Transport,
        data_directory: Path = Path('data'),
        storage: LogStorage | None = None,
        find_change_problem: FindChangeProblem = empty_change_problem,
        options: DriverOptions | None = None,
        founding_seeds: tuple[str, ...] = (),
        random: Callable[[], float] = system_random.random,
    ) -> None:
        self._host_id = host_id
        self._address = address
        self._founding_seeds = founding_seeds
        self._driver = ConsensusDriver(
            storage=storage
            or FileStorage(directory=data_directory, host_id=host_id),
            transport=transport,
            random=random,
            find_change_problem=find_change_problem,
            options=options or DriverOptions(),
        )
        self._reconfiguration = Reconfiguration(
            driver=self._driver, lock=anyio.Lock()
        )
        self._service = consensus_service(self)

    @property
    def service(self) -> UnaryService:
        """Service to register with the daemon's grpclib server."""
        return self._service

    @property
    def view(self) -> ControlView:
        """Current view of the node; available once `run` has started."""
        return self._driver.view

    @property
    def storage_wait_s(self) -> float:
        """Time that the present write to the log has taken, in seconds."""
        return self._driver.storage_wait_s

    def views(self) -> AsyncIterator[ControlView]:
        """Iterate over the current view and each later one."""
        return self._driver.publisher.views()

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Run the node until cancelled.

        Reports that it has started once its storage has been loaded.

        Raises
        ------
        StorageError, OSError
            If the storage is damaged, in use, or fails; the daemon must
            stop then.
        """
        await self._driver.start()
        task_status.started()
        await self._driver.run()

    async def propose(self, command: Command) -> ProposalResult:
        """Propose a command; see `ConsensusDriver.propose`."""
        return await self._driver.propose(command)

    async def read_state(self) -> StateReadResult:
        """Read a confirmed state; see `ConsensusDriver.read_state`."""
        return await self._driver.read_state()

    def node_progress(self) -> dict[HostId, NodeProgress]:
        """Return the replication progress of the other nodes.

        Empty unless this node is the leader.
        """
        node = self._driver.node
        if not isinstance(node.role, Leader):
            return {}
        now = anyio.current_time()
        return {
            known.host_id: NodeProgress(
                incarnation=known.incarnation,
                since_answer_s=now - progress.answered_at,
                missing_entries=node.log.last.index - progress.match_index,
                has_answered=progress.match_index > 0,
            )
            for known, progress in node.role.progress.items()
        }

    async def answer_proposal(self, request: ProposeRequest) -> ProposeReply:
        """Answer the `Propose` method of the control service."""
        proposed = await self.propose(request.command)
        if isinstance(proposed, Err):
            failure = proposed.err_value
            return ProposeReply(
                accepted=False,
                problem=str(failure),
                leader=_leader_address(failure),
            )
        answer = proposed.ok_value
        return ProposeReply(
            accepted=answer.accepted,
            problem=answer.problem,
            index=answer.index,
            settings_version=answer.settings_version,
        )

    async def exchange(self, request: ExchangeRequest) -> ExchangeReply:
        """Handle a message of the replicated log."""
        reply = await self._driver.deliver(request.envelope)
        return ExchangeReply(envelope=reply)

    async def identify(self, request: HostIdentityRequest) -> HostIdentityReply:
        """Return the identity of the host."""
        view = self.view
        return HostIdentityReply(
            host_id=view.identity.host_id,
            incarnation=view.identity.incarnation,
            initialised=view.initialised,
            founding_seeds=self._founding_seeds,
        )

    async def initialise(self, request: ClusterInitRequest) -> ClusterReply:
        """Write the first configuration, if the host has none."""
        problem = self._voters_problem(request)
        if problem is not None:
            return ClusterReply(accepted=False, problem=problem)
        voters = first_configuration(request.voters)
        if await self._driver.bootstrap(voters):
            return ClusterReply(accepted=True)
        return ClusterReply(
            accepted=False,
            problem=(
                f'host {self._host_id} belongs to a group already: leave it '
                'out, or start it with an empty data directory'
            ),
        )

    async def replace(self, request: ClusterReplaceRequest) -> ClusterReply:
        """Replace a voter, if the host is the leader."""
        changed = await self._reconfiguration.replace(
            request.old_host_id, request.new_host
        )
        if isinstance(changed, Err):
            failure = changed.err_value
            return ClusterReply(
                accepted=False,
                problem=str(failure),
                leader=_leader_address(failure),
            )
        return ClusterReply(accepted=True)

    def _voters_problem(self, request: ClusterInitRequest) -> str | None:
        identity = self.view.identity
        matching = [
            voter
            for voter in request.voters
            if voter.host_id == identity.host_id
        ]
        if len(request.voters) > _MAX_VOTERS:
            return (
                f'{len(request.voters)} voters are given, at most '
                f'{_MAX_VOTERS} are allowed: name fewer hosts'
            )
        if [voter.incarnation for voter in matching] != [identity.incarnation]:
            return (
                f'host {identity.host_id} has incarnation '
                f'{identity.incarnation}, which the request does not contain '
                'exactly once: read the identities of the hosts again'
            )
        return None


def _leader_address(failure: object) -> str | None:
    return failure.leader if isinstance(failure, NotLeader) else None
