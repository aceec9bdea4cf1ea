"""Driver that runs the replicated log's state machine with I/O."""

from collections.abc import Callable, Sequence
from functools import partial
from operator import attrgetter
from typing import TypeVar

import anyio
from anyio.abc import TaskGroup
from anyio.to_thread import run_sync as run_in_thread
from result import Err, Ok

from lavendergate.controllers.applied_state import AppliedState
from lavendergate.controllers.driver_options import DriverOptions
from lavendergate.controllers.exchange import exchange
from lavendergate.controllers.inbox import Inbox, InboxItem
from lavendergate.controllers.log_storage.readable import check_stored
from lavendergate.controllers.log_storage.received import ReceivedMessages
from lavendergate.controllers.pending import (
    PendingProposals,
    PendingReads,
    ProposalResult,
    StateReadResult,
)
from lavendergate.controllers.view import (
    ControlView,
    ViewPublisher,
    leader_address,
)
from lavendergate.controllers.waiters import Waiter
from lavendergate.core.commands import ChangeVoters, Command
from lavendergate.core.consensus import events
from lavendergate.core.consensus.errors import NoQuorum, NotLeader
from lavendergate.core.consensus.machine import (
    initial_state,
    next_wakeup,
    step,
)
from lavendergate.core.consensus.messages import (
    AppendReply,
    Envelope,
    VoteReply,
)
from lavendergate.core.consensus.payload import (
    cluster_id_of,
    encode_command,
)
from lavendergate.core.consensus.state import Leader, NodeState
from lavendergate.core.control_records import FindChangeProblem
from lavendergate.core.control_state import (
    ControlState,
    encode_state,
)
from lavendergate.rpc.transport import Transport
from lavendergate.storage.base import (
    DamagedFileError,
    LogStorage,
    StorageError,
    StoredState,
    UnreadableLogError,
    UnreadableRecordError,
)
from lavendergate.storage.effects import persist

ResultT = TypeVar('ResultT')

_PROPOSAL_TIMEOUT_S = 5.0
# Errors that end the node: the disk takes writes, and trying again meets the
# same bytes. The next start resets the host for damage only.
_CONTENT_ERRORS = (DamagedFileError, UnreadableLogError, UnreadableRecordError)


class ConsensusDriver:
    """Runs a node of the replicated log with its storage and transport.

    Events are handled in batches: all events that arrive during a sync to
    disk are processed together and share the next sync. Messages and answers
    are sent only after the sync of the batch that produced them.

    Parameters
    ----------
    storage
        Durable storage of the node.
    transport
        Transport to the other nodes.
    random
        Returns random numbers from 0 to 1, for election timeouts.
    find_change_problem
        Returns why a change of the settings is invalid, or None.
    options
        Timeouts of the node, and limits for snapshots.
    """

    def __init__(
        self,
        *,
        storage: LogStorage,
        transport: Transport,
        random: Callable[[], float],
        find_change_problem: FindChangeProblem,
        options: DriverOptions,
    ) -> None:
        self._storage = storage
        self._transport = transport
        self._random = random
        self._options = options
        self._inbox = Inbox()
        self._received = ReceivedMessages(clock=anyio.current_time)
        self._proposals = PendingProposals()
        self._reads = PendingReads()
        self._find_change_problem = find_change_problem
        self._applied = AppliedState(
            find_change_problem=find_change_problem, proposals=self._proposals
        )
        self._node: NodeState | None = None
        # Newest state that readers saw before the storage was read again.
        self._shown_state = ControlState()
        self._is_recovering = False
        self._is_snapshotting = False
        self._write_began_at: float | None = None
        self.publisher = ViewPublisher()

    @property
    def node(self) -> NodeState:
        """State of the node.

        Raises
        ------
        RuntimeError
            If the node has not started.
        """
        if self._node is None:
            raise RuntimeError('the node has not started: run the driver')
        return self._node

    @property
    def view(self) -> ControlView:
        """Latest view, without a leader while a write takes too long.

        The node handles no event during a write, so it can neither step down
        nor miss its leader then, and the others elect a successor.
        """
        view = self.publisher.view
        if self._is_recovering:
            return view.without_leader()
        if self.storage_wait_s <= self._options.node.election_timeout_s:
            return view
        if anyio.current_time() <= view.leader_known_until:
            return view
        return view.without_leader()

    @property
    def storage_wait_s(self) -> float:
        """Time that the present write has taken so far, in seconds.

        No event is handled meanwhile; 0 if nothing is being written.
        """
        began_at = self._write_began_at
        return 0 if began_at is None else anyio.current_time() - began_at

    async def start(self) -> None:
        """Load the node from the storage.

        Raises
        ------
        StorageError
            If the storage is damaged or in use, or if this build cannot read
            an entry.
        """
        self._restore(await self._call_blocking(self._load))

    async def run(self) -> None:
        """Handle events until cancelled; call `start` before.

        Raises
        ------
        StorageError, OSError
            If a write failed and `storage_retry_s` is not given: the node
            cannot know which of its state is durable. In any case if the log
            is damaged or this build cannot read it; in an exception group
            where a task of the node met it.
        """
        try:
            while True:
                await self._run_until_write_fails()
                await self._recover_storage()
        finally:
            self._stop()

    async def _run_until_write_fails(self) -> None:
        try:
            async with anyio.create_task_group() as tasks:
                while True:
                    await self._handle_next_batch(tasks)
        except* _CONTENT_ERRORS:
            # Reading it again cannot help.
            raise
        except* (OSError, StorageError) as failure:
            if self._options.storage_retry_s is None:
                raise
            self._options.report_storage_failure(repr(failure.exceptions[0]))

    async def _recover_storage(self) -> None:
        """Read the storage again once it takes writes.

        Until then the node neither votes nor leads, and drops messages: it
        does not know which of its state is durable.
        """
        self._is_recovering = True
        self._is_snapshotting = False
        self._shown_state = self._newest_state()
        self._inbox.close()
        self._proposals.fail_all()
        self._reads.fail_all(NoQuorum(may_commit=False))
        stored = None
        while stored is None:
            await anyio.sleep(self._options.storage_retry_s or 0)
            stored = await self._reload_storage()
        self._applied = AppliedState(
            find_change_problem=self._find_change_problem,
            proposals=self._proposals,
        )
        self._inbox.reopen()
        self._write_began_at = None
        self._is_recovering = False
        self._restore(stored)

    async def _reload_storage(self) -> StoredState | None:
        try:
            stored = await self._call_blocking(self._storage.reload)
            check_stored(stored, self._storage.location)
        except _CONTENT_ERRORS:
            raise
        except (OSError, StorageError):
            return None
        return stored

    def _load(self) -> StoredState:
        stored = self._storage.load()
        try:
            check_stored(stored, self._storage.location)
        except StorageError:
            self._storage.close()
            raise
        return stored

    def _restore(self, stored: StoredState) -> None:
        if stored.snapshot is not None:
            self._applied.restore(stored.snapshot)
        now = anyio.current_time()
        self._node = initial_state(
            identity=stored.identity,
            hard_state=stored.hard_state,
            log=stored.log,
            snapshot=stored.snapshot,
            options=self._options.node,
            jitter=self._random(),
            now=now,
        )
        self.publisher.publish(self.node, self._newest_state(), now)

    def _newest_state(self) -> ControlState:
        # Both are states of the same committed log. After a recovery entries
        # are applied again, and readers must not see an older state.
        return max(
            self._applied.state,
            self._shown_state,
            key=attrgetter('applied_index'),
        )

    async def propose(
        self, command: Command, *, timeout_s: float = _PROPOSAL_TIMEOUT_S
    ) -> ProposalResult:
        """Append a command and wait until it is committed and applied.

        Parameters
        ----------
        command
            The command; `ChangeVoters` is checked against the current
            configuration.
        timeout_s
            Time to wait, in seconds.

        Returns
        -------
        Result
            The answer of the state machine, or why there is none. An
            exception of the state machine is raised here, before the command
            is appended, and the command does not run.
        """
        self._applied.validate(command)
        if self._is_recovering:
            return Err(NotLeader(leader=None))
        waiter: Waiter[ProposalResult] = Waiter()
        proposal_id = self._proposals.add(waiter)
        self._inbox.post(_proposal(proposal_id, command))
        with anyio.move_on_after(timeout_s):
            return await waiter.wait()
        return Err(NoQuorum(may_commit=True))

    async def read_state(
        self, *, timeout_s: float = _PROPOSAL_TIMEOUT_S
    ) -> StateReadResult:
        """Return a state that includes every command committed before the call.

        Parameters
        ----------
        timeout_s
            Time to wait for the leadership to be confirmed, in seconds.
        """
        if self._is_recovering:
            return Err(NotLeader(leader=None))
        waiter: Waiter[StateReadResult] = Waiter()
        self._reads.add(waiter)
        self._inbox.wake()
        with anyio.move_on_after(timeout_s):
            return await waiter.wait()
        return Err(NoQuorum(may_commit=False))

    async def deliver(self, envelope: Envelope) -> Envelope | None:
        """Handle a message from another node and return the reply, if any.

        A message that this build cannot read has no reply.
        """
        received = events.Receive(envelope=envelope)
        return await self._inbox.post_and_wait(received)

    async def bootstrap(self, voters: ChangeVoters) -> bool:
        """Write the first configuration.

        Returns
        -------
        bool
            Whether the node belongs to the group with this configuration,
            from this call or an earlier one.
        """
        await self._inbox.post_and_wait(events.Bootstrap(voters=voters))
        return self.node.hard_state.cluster_id == cluster_id_of(voters)

    async def _handle_next_batch(self, tasks: TaskGroup) -> None:
        wakeup = next_wakeup(self.node)
        await self._inbox.wait_until(wakeup)
        read_id = self._reads.start_round()
        if read_id is not None:
            self._inbox.post(events.RequestRead(read_id=read_id))
        if anyio.current_time() >= wakeup:
            self._inbox.post(events.Tick(jitter=self._random()))
        batch = self._inbox.pop_all()
        try:
            await self._handle(batch, tasks)
        finally:
            for handled in batch:
                handled.finish()

    async def _handle(
        self, batch: Sequence[InboxItem], tasks: TaskGroup
    ) -> None:
        now = anyio.current_time()
        before = self.node
        stepped = [(item, self._step(item.event, now)) for item in batch]
        writes = [
            effect
            for _, effects in stepped
            for effect in effects
            if isinstance(effect, events.PersistEffect)
        ]
        if writes:
            self._write_began_at = now
            try:
                await self._call_blocking(
                    partial(persist, self._storage, writes)
                )
            except (OSError, StorageError):
                # Nothing of this batch may be taken for durable.
                self._node = before
                raise
            self._write_began_at = None
        for item, effects in stepped:
            for effect in effects:
                self._execute_effect(effect, item, tasks)
        self._fail_if_stepped_down(before)
        self.publisher.publish(
            self.node, self._newest_state(), anyio.current_time()
        )
        self._start_snapshot(tasks)

    def _step(self, event: events.Event, now: float) -> events.Effects:
        # Requests and replies of peers both pass here.
        if isinstance(event, events.Receive):
            received = self._received
            if not received.is_valid(event.envelope):
                return ()
            if not received.is_consistent(event.envelope, self.node):
                return ()
        node, effects = step(self.node, event, now)
        self._node = node
        return effects

    def _execute_effect(
        self, effect: events.Effect, item: InboxItem, tasks: TaskGroup
    ) -> None:
        match effect:
            case events.Send(envelope=envelope):
                self._send(envelope, item, tasks)
            case events.ApplyEntries(entries=entries):
                self._applied.apply(entries)
            case events.ApplySnapshot(snapshot=snapshot):
                self._applied.restore(snapshot)
            case events.ProposalAppended():
                self._proposals.record_appended(effect)
            case events.ProposalRefused():
                self._proposals.refuse(effect, leader_address(self.node))
            case events.ReadConfirmed(read_id=read_id):
                self._reads.finish_round(read_id, Ok(self._applied.state))
            case events.ReadRefused(read_id=read_id):
                failure = NotLeader(leader=leader_address(self.node))
                self._reads.finish_round(read_id, Err(failure))

    def _send(
        self, envelope: Envelope, item: InboxItem, tasks: TaskGroup
    ) -> None:
        if isinstance(envelope.message, (VoteReply, AppendReply)):
            item.finish(envelope)
        else:
            current = self.node.configuration
            address = current.address(envelope.recipient) if current else ''
            tasks.start_soon(
                exchange, self._transport, self._inbox, address, envelope
            )

    def _fail_if_stepped_down(self, before: NodeState) -> None:
        was_leader = isinstance(before.role, Leader)
        is_leader = isinstance(self.node.role, Leader)
        if was_leader and not (is_leader and before.term == self.node.term):
            self._proposals.fail_appended()
            self._reads.fail_all(NotLeader(leader=leader_address(self.node)))

    def _start_snapshot(self, tasks: TaskGroup) -> None:
        snapshot = self.node.snapshot
        included = snapshot.last.index if snapshot else 0
        added = self._applied.state.applied_index - included
        if added >= self._options.entries_per_snapshot:
            if not self._is_snapshotting:
                self._is_snapshotting = True
                tasks.start_soon(self._take_snapshot, self._applied.state)

    async def _take_snapshot(self, state: ControlState) -> None:
        encoded = await self._call_blocking(partial(encode_state, state))
        await self._inbox.post_and_wait(
            events.Compact(
                index=state.applied_index,
                state=encoded,
                retained=self._options.retained_entries,
            )
        )
        self._is_snapshotting = False

    async def _call_blocking(self, function: Callable[[], ResultT]) -> ResultT:
        if self._storage.is_blocking:
            return await run_in_thread(function)
        return function()

    def _stop(self) -> None:
        self._inbox.close()
        self._proposals.fail_all()
        self._reads.fail_all(NoQuorum(may_commit=False))
        self._storage.close()
        self._transport.close()


def _proposal(proposal_id: int, command: Command) -> events.Event:
    if isinstance(command, ChangeVoters):
        return events.ProposeConfiguration(
            proposal_id=proposal_id, voters=command
        )
    payload = encode_command(command)
    return events.Propose(proposal_id=proposal_id, payload=payload)
