"""Fixed event orders that random schedules produce too rarely."""

from lavendergate.core.consensus.messages import (
    AppendReply,
    AppendRequest,
    Message,
    VoteReply,
    VoteRequest,
)
from lavendergate.core.types import HostId
from properties.consensus_simulator import Simulation

_FIRST, _SECOND, _THIRD = HostId('h0'), HostId('h1'), HostId('h2')
_ELECTION_DELAY_S = 1.0
_ATTEMPTS = 3
_VOTE_MESSAGES = (VoteRequest, VoteReply)
_APPEND_MESSAGES = (AppendRequest, AppendReply)


def vote_twice(simulation: Simulation) -> None:
    """Two candidates of a term request a vote; the voter restarts between."""
    _start_elections(simulation, _FIRST, _SECOND)
    _deliver_all(
        simulation, {_FIRST, _SECOND, _THIRD}, _VOTE_MESSAGES, pre_vote=True
    )
    late = simulation.network
    simulation.network = list(late)
    _deliver_all(simulation, {_FIRST, _THIRD}, _VOTE_MESSAGES)
    simulation.crash(_THIRD)
    simulation.restart(_THIRD)
    simulation.network = late
    _deliver_all(simulation, {_SECOND, _THIRD}, _VOTE_MESSAGES)


def commit_older_term(simulation: Simulation) -> None:
    """A leader replicates an entry of an older term, but none of its own."""
    _elect(simulation, _FIRST, _THIRD)
    simulation.crash(_FIRST)
    _elect(simulation, _SECOND, _THIRD)
    simulation.crash(_SECOND)
    simulation.restart(_FIRST)
    _elect(simulation, _FIRST, _THIRD)
    # Four messages: probe, refusal, append of the older entry, reply.
    for _ in range(4):
        _deliver_first(simulation, {_FIRST, _THIRD}, _APPEND_MESSAGES)
    simulation.crash(_FIRST)
    simulation.restart(_SECOND)
    _elect(simulation, _SECOND, _THIRD)


def read_from_replaced_leader(simulation: Simulation) -> None:
    """A leader that was paused during a later commit receives a read."""
    _elect(simulation, _FIRST, _THIRD)
    _deliver_all(simulation, {_FIRST, _SECOND, _THIRD}, _APPEND_MESSAGES)
    _elect(simulation, _SECOND, _THIRD)
    _deliver_all(simulation, {_SECOND, _THIRD}, _APPEND_MESSAGES)
    simulation.read(_FIRST)


def _start_elections(simulation: Simulation, *candidates: HostId) -> None:
    simulation.max_deliveries = 0
    for host_id, host in simulation.hosts.items():
        is_candidate = host_id in candidates
        host.paused_until = (
            0 if is_candidate else simulation.now + 2 * _ELECTION_DELAY_S
        )
    simulation.advance(_ELECTION_DELAY_S)
    for host in simulation.hosts.values():
        host.paused_until = 0


def _elect(simulation: Simulation, candidate: HostId, voter: HostId) -> None:
    # In the first attempt the candidate may only learn of a newer term.
    for _ in range(_ATTEMPTS):
        if candidate in simulation.leaders:
            return
        simulation.network = []
        _start_elections(simulation, candidate)
        _deliver_all(simulation, {candidate, voter}, _VOTE_MESSAGES)


def _deliver_all(
    simulation: Simulation,
    between: set[HostId],
    kinds: tuple[type[Message], ...],
    *,
    pre_vote: bool = False,
) -> None:
    while _deliver_first(simulation, between, kinds, pre_vote=pre_vote):
        continue


def _deliver_first(
    simulation: Simulation,
    between: set[HostId],
    kinds: tuple[type[Message], ...],
    *,
    pre_vote: bool = False,
) -> bool:
    for position, envelope in enumerate(simulation.network):
        link_hosts = {envelope.sender.host_id, envelope.recipient.host_id}
        message = envelope.message
        is_selected = isinstance(message, kinds) and link_hosts <= between
        if pre_vote and not getattr(message, 'pre_vote', False):
            is_selected = False
        if is_selected:
            simulation.deliver(simulation.network.pop(position))
            return True
    return False
