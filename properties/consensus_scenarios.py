"""Orders of events that random schedules meet too rarely."""

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
_LONG_S = 1.0
_ATTEMPTS = 3
_VOTES = (VoteRequest, VoteReply)
_ENTRIES = (AppendRequest, AppendReply)


def vote_twice(simulation: Simulation) -> None:
    """Two candidates of one term ask a voter that restarts between them."""
    _expire(simulation, _FIRST, _SECOND)
    _pass(simulation, {_FIRST, _SECOND, _THIRD}, _VOTES, pre_vote=True)
    late = simulation.network
    simulation.network = list(late)
    _pass(simulation, {_FIRST, _THIRD}, _VOTES)
    simulation.crash(_THIRD)
    simulation.restart(_THIRD)
    simulation.network = late
    _pass(simulation, {_SECOND, _THIRD}, _VOTES)


def commit_older_term(simulation: Simulation) -> None:
    """A leader replicates an entry of an older term, but none of its own."""
    _elect(simulation, _FIRST, _THIRD)
    simulation.crash(_FIRST)
    _elect(simulation, _SECOND, _THIRD)
    simulation.crash(_SECOND)
    simulation.restart(_FIRST)
    _elect(simulation, _FIRST, _THIRD)
    # The probe, its refusal, the older entry and the answer.
    for _ in range(4):
        _pass_once(simulation, {_FIRST, _THIRD}, _ENTRIES)
    simulation.crash(_FIRST)
    simulation.restart(_SECOND)
    _elect(simulation, _SECOND, _THIRD)


def read_from_replaced_leader(simulation: Simulation) -> None:
    """A leader is paused while another one commits; then it is read."""
    _elect(simulation, _FIRST, _THIRD)
    _pass(simulation, {_FIRST, _SECOND, _THIRD}, _ENTRIES)
    _elect(simulation, _SECOND, _THIRD)
    _pass(simulation, {_SECOND, _THIRD}, _ENTRIES)
    simulation.read(_FIRST)


def _expire(simulation: Simulation, *candidates: HostId) -> None:
    simulation.max_deliveries = 0
    for host_id, host in simulation.hosts.items():
        is_candidate = host_id in candidates
        host.paused_until = 0 if is_candidate else simulation.now + 2 * _LONG_S
    simulation.advance(_LONG_S)
    for host in simulation.hosts.values():
        host.paused_until = 0


def _elect(simulation: Simulation, candidate: HostId, voter: HostId) -> None:
    # The first attempt may only tell the candidate of a newer term.
    for _ in range(_ATTEMPTS):
        if candidate in simulation.leaders:
            return
        simulation.network = []
        _expire(simulation, candidate)
        _pass(simulation, {candidate, voter}, _VOTES)


def _pass(
    simulation: Simulation,
    between: set[HostId],
    kinds: tuple[type[Message], ...],
    *,
    pre_vote: bool = False,
) -> None:
    while _pass_once(simulation, between, kinds, pre_vote=pre_vote):
        continue


def _pass_once(
    simulation: Simulation,
    between: set[HostId],
    kinds: tuple[type[Message], ...],
    *,
    pre_vote: bool = False,
) -> bool:
    for position, envelope in enumerate(simulation.network):
        ends = {envelope.sender.host_id, envelope.recipient.host_id}
        message = envelope.message
        is_wanted = isinstance(message, kinds) and ends <= between
        if pre_vote and not getattr(message, 'pre_vote', False):
            is_wanted = False
        if is_wanted:
            simulation.deliver(simulation.network.pop(position))
            return True
    return False
