"""Seeded, single-threaded simulation of nodes of the replicated log."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import msgspec

from lavendergate.core.commands import ChangeVoters
from lavendergate.core.consensus import events
from lavendergate.core.consensus.machine import (
    initial_state,
    next_wakeup,
    step,
)
from lavendergate.core.consensus.messages import Envelope
from lavendergate.core.consensus.state import Leader, NodeState
from lavendergate.core.consensus.types import (
    Entry,
    NodeId,
    NodeOptions,
)
from lavendergate.core.types import HostId
from lavendergate.storage.base import StorageError
from lavendergate.storage.effects import persist
from lavendergate.storage.memory import MemoryStorage
from properties.consensus_checks import Checks

_MAX_MESSAGES = 80
_RETAINED_ENTRIES = 2


class _CrashError(Exception):
    """The simulated process crashes between two effects."""


@dataclass(kw_only=True)
class Host:
    """A host; `node` is None while it is down."""

    storage: MemoryStorage
    identity: NodeId
    node: NodeState | None = None
    applied: list[Entry] = field(default_factory=list)
    proposals: dict[int, tuple[int, int]] = field(default_factory=dict)
    reads: dict[int, int] = field(default_factory=dict)
    paused_until: float = 0


class Simulation:
    """Hosts of one replicated log, their network and injected faults.

    Parameters
    ----------
    seed
        Seed of the schedule.
    hosts
        Number of initial voters; one more host is created as a spare.
    storage_type
        Class of the storage of each host.
    entries_per_message
        Most entries that a leader sends at once.
    keeps_identity
        Deliberate fault: a host that lost its disk keeps its identity.
    """

    def __init__(
        self,
        *,
        seed: int,
        hosts: int,
        storage_type: Callable[..., MemoryStorage] = MemoryStorage,
        keeps_identity: bool = False,
        entries_per_message: int = 256,
    ) -> None:
        self.random = Random(seed)
        self.now = 0.0
        self.checks = Checks()
        self.network: list[Envelope] = []
        self.cuts: set[tuple[HostId, HostId]] = set()
        self.wiped: set[NodeId] = set()
        self.drop = 0.0
        self.max_deliveries = 6
        self._options = NodeOptions(entries_per_message=entries_per_message)
        self._storage_type = storage_type
        self._keeps_identity = keeps_identity
        self._last_request_id = 0
        self.hosts = {
            HostId(f'h{number}'): self._new_host(HostId(f'h{number}'))
            for number in range(hosts + 1)
        }
        voters = sorted(self.hosts)[:hosts]
        self._initial_voters = ChangeVoters(
            voters=frozenset(voters),
            learners=frozenset(),
            addresses=dict.fromkeys(voters, 'address'),
            incarnations=dict.fromkeys(voters, '0'),
        )
        for host_id in self.hosts:
            self.restart(host_id)
        for host_id in voters:
            self.handle(host_id, events.Bootstrap(voters=self._initial_voters))

    @property
    def leaders(self) -> list[HostId]:
        """Hosts whose node is in the leader role, deposed ones included."""
        return [
            host_id
            for host_id, host in self.hosts.items()
            if host.node and isinstance(host.node.role, Leader)
        ]

    def handle(self, host_id: HostId, event: events.Event) -> None:
        """Handle an event as the driver does; a failed write is a crash."""
        host = self.hosts[host_id]
        if host.node is None:
            return
        before = host.node
        host.node, effects = step(before, event, self.now)
        writes = [
            effect
            for effect in effects
            if isinstance(effect, events.PersistEffect)
        ]
        try:
            if writes:
                persist(host.storage, writes)
            self.checks.observe(before, host.node)
            for effect in effects:
                self._perform(host, effect)
        except (StorageError, _CrashError):
            self.crash(host_id)

    def advance(self, seconds: float) -> None:
        """Advance the clock, then deliver random messages in random order.

        Parameters
        ----------
        seconds
            Time to advance, in seconds.
        """
        self.now += seconds
        for host_id, host in self.hosts.items():
            is_due = host.node and self.now >= next_wakeup(host.node)
            if is_due and self.now >= host.paused_until:
                self.handle(host_id, events.Tick(jitter=self.random.random()))
        for _ in range(min(len(self.network), self._choose_delivery_count())):
            position = self.random.randrange(len(self.network))
            self.deliver(self.network.pop(position))
        del self.network[:-_MAX_MESSAGES]

    def _choose_delivery_count(self) -> int:
        return self.random.randint(0, self.max_deliveries)

    def deliver(self, envelope: Envelope) -> None:
        """Deliver, requeue (paused recipient), drop or duplicate a message."""
        if self.now < self.hosts[envelope.recipient.host_id].paused_until:
            self.network.append(envelope)
            return
        link = (envelope.sender.host_id, envelope.recipient.host_id)
        is_lost = link in self.cuts or self.random.random() < self.drop
        if is_lost:
            failed = events.DeliveryFailed(recipient=envelope.recipient)
            self.handle(envelope.sender.host_id, failed)
            return
        if self.random.random() < self.drop:
            self.network.append(envelope)
        received = events.Receive(envelope=envelope)
        self.handle(envelope.recipient.host_id, received)

    def crash(self, host_id: HostId) -> None:
        """Crash a process; data that was not synced is lost."""
        host = self.hosts[host_id]
        host.node = None
        host.storage.crash()

    def restart(self, host_id: HostId) -> None:
        """Start a process from its storage."""
        host = self.hosts[host_id]
        stored = host.storage.load()
        host.applied = []
        host.proposals = {}
        host.reads = {}
        if stored.snapshot is not None:
            host.applied = _decode(stored.snapshot.state)
        host.node = initial_state(
            identity=stored.identity,
            hard_state=stored.hard_state,
            log=stored.log,
            snapshot=stored.snapshot,
            options=self._options,
            jitter=self.random.random(),
            now=self.now,
        )
        self.checks.observe(None, host.node)

    def wipe(self, host_id: HostId) -> None:
        """Replace a host's disk by an empty one."""
        self.wiped.add(self.hosts[host_id].identity)
        self.hosts[host_id] = self._new_host(host_id)
        self.restart(host_id)

    def propose(self, host_id: HostId) -> None:
        """Propose a command with a unique payload."""
        self._last_request_id += 1
        payload = self._last_request_id.to_bytes(4, 'big')
        self.handle(
            host_id,
            events.Propose(proposal_id=self._last_request_id, payload=payload),
        )

    def propose_voters(self, host_id: HostId, voters: ChangeVoters) -> None:
        """Propose a change of the voters and learners."""
        self._last_request_id += 1
        self.handle(
            host_id,
            events.ProposeConfiguration(
                proposal_id=self._last_request_id, voters=voters
            ),
        )

    def read(self, host_id: HostId) -> None:
        """Request a read; record the highest index applied by any node."""
        self._last_request_id += 1
        host = self.hosts[host_id]
        host.reads[self._last_request_id] = self.checks.last_committed
        self.handle(host_id, events.RequestRead(read_id=self._last_request_id))

    def compact(self, host_id: HostId) -> None:
        """Take a snapshot of the applied state."""
        host = self.hosts[host_id]
        self.handle(
            host_id,
            events.Compact(
                index=len(host.applied),
                state=msgspec.msgpack.encode(host.applied),
                retained=_RETAINED_ENTRIES,
            ),
        )

    def _new_host(self, host_id: HostId) -> Host:
        incarnation = '0'
        if not self._keeps_identity:
            incarnation = str(len(self.wiped))
        identity = NodeId(host_id=host_id, incarnation=incarnation)
        return Host(
            storage=self._storage_type(identity=identity), identity=identity
        )

    def _perform(self, host: Host, effect: events.Effect) -> None:
        match effect:
            case events.Send(envelope=envelope):
                # A process may crash between any two messages.
                if self.random.random() < self.drop / 20:
                    raise _CrashError
                self.network.append(envelope)
            case events.ApplyEntries(entries=entries):
                host.applied.extend(entries)
                self.checks.observe_applied(host.identity, entries)
                self._acknowledge(host, entries)
            case events.ApplySnapshot(snapshot=snapshot):
                host.applied = _decode(snapshot.state)
                self.checks.observe_applied(host.identity, host.applied)
            case events.ProposalAppended(index=index, term=term):
                host.proposals[index] = (term, effect.proposal_id)
            case events.ReadConfirmed(read_id=read_id, index=index):
                self.checks.observe_read(index, host.reads[read_id])

    def _acknowledge(self, host: Host, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            term, _ = host.proposals.pop(entry.index, (0, 0))
            if term == entry.term:
                self.checks.acknowledged[entry.index] = entry


def _decode(state: bytes) -> list[Entry]:
    return msgspec.msgpack.decode(state, type=list[Entry])
