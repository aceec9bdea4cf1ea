"""The `step` function of a node: dispatch of events and messages."""

from dataclasses import replace

from lavendergate.core.consensus.compaction import compact
from lavendergate.core.consensus.election import (
    handle_vote_reply,
    handle_vote_request,
    start_pre_vote,
)
from lavendergate.core.consensus.events import (
    Bootstrap,
    Compact,
    DeliveryFailed,
    Event,
    ProposalAppended,
    ProposalRefused,
    Propose,
    ProposeConfiguration,
    Receive,
    RequestRead,
    Tick,
)
from lavendergate.core.consensus.following import (
    handle_append_request,
    handle_snapshot_request,
)
from lavendergate.core.consensus.log import Log
from lavendergate.core.consensus.membership import (
    bootstrap,
    propose_configuration,
)
from lavendergate.core.consensus.messages import (
    AppendReply,
    AppendRequest,
    Envelope,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
)
from lavendergate.core.consensus.payload import decode_configuration
from lavendergate.core.consensus.quorum import check_quorum
from lavendergate.core.consensus.reads import begin_read, confirm_reads
from lavendergate.core.consensus.replication import (
    append_as_leader,
    handle_append_reply,
    handle_delivery_failure,
    send_pending,
)
from lavendergate.core.consensus.state import (
    Leader,
    NodeState,
    Transition,
    save_hard_state,
)
from lavendergate.core.consensus.types import (
    HardState,
    NodeId,
    NodeOptions,
    Snapshot,
    configuration_of,
)


def initial_state(
    *,
    identity: NodeId,
    hard_state: HardState,
    log: Log,
    snapshot: Snapshot | None,
    options: NodeOptions,
    jitter: float,
    now: float,
) -> NodeState:
    """Return the state of a node that starts from its storage.

    Parameters
    ----------
    identity
        Identity of the node, stored together with its other state.
    hard_state, log, snapshot
        State read from storage.
    options
        Timeouts and limits.
    jitter
        Random number from 0 to 1 for the first election timeout.
    now
        Time on the monotonic clock, in seconds.
    """
    configurations = tuple(
        configuration_of(entry.index, decode_configuration(entry.payload))
        for entry in log.entries
        if entry.is_configuration
    )
    commit_index = 0
    if snapshot is not None:
        commit_index = snapshot.last.index
        first = configuration_of(commit_index, snapshot.voters)
        later = tuple(
            configuration
            for configuration in configurations
            if configuration.index > commit_index
        )
        configurations = (first, *later)
    timeout_s = options.randomized_timeout_s(jitter, had_leader_contact=False)
    return NodeState(
        identity=identity,
        hard_state=hard_state,
        log=log,
        snapshot=snapshot,
        commit_index=commit_index,
        configurations=configurations,
        options=options,
        election_timeout_s=timeout_s,
        election_at=now + timeout_s,
    )


def next_wakeup(state: NodeState) -> float:
    """Return the monotonic time at which the next `Tick` is due."""
    match state.role:
        case Leader(heartbeat_at=heartbeat_at):
            return heartbeat_at
        case _:
            return state.election_at


def step(state: NodeState, event: Event, now: float) -> Transition:
    """Handle an event.

    Parameters
    ----------
    state
        State before the event.
    event
        What happened.
    now
        Time on the monotonic clock, in seconds.

    Returns
    -------
    The state after the event, and the effects to perform in this order.
    """
    match event:
        case Tick(jitter=jitter):
            return _handle_tick(state, jitter, now)
        case Receive(envelope=envelope):
            return _handle_envelope(state, envelope, now)
        case DeliveryFailed(recipient=recipient):
            return handle_delivery_failure(state, recipient)
        case Propose():
            return _handle_proposal(state, event, now)
        case ProposeConfiguration(proposal_id=proposal_id, voters=voters):
            return propose_configuration(state, proposal_id, voters, now)
        case RequestRead(read_id=read_id):
            return _handle_read_request(state, read_id, now)
        case Compact():
            return compact(state, event)
        case Bootstrap(voters=voters):
            return bootstrap(state, voters, now)


def _handle_tick(state: NodeState, jitter: float, now: float) -> Transition:
    if now < next_wakeup(state):
        return state, ()
    role = state.role
    if not isinstance(role, Leader):
        return start_pre_vote(state, jitter, now)
    state, effects = check_quorum(state, role, now)
    if not isinstance(state.role, Leader):
        return state, effects
    heartbeat_at = now + state.options.heartbeat_interval_s
    role = replace(state.role, heartbeat_at=heartbeat_at)
    return send_pending(replace(state, role=role), now, heartbeat=True)


def _handle_proposal(
    state: NodeState, event: Propose, now: float
) -> Transition:
    proposal_id = event.proposal_id
    if not isinstance(state.role, Leader):
        return state, (ProposalRefused(proposal_id=proposal_id, problem=None),)
    appended = ProposalAppended(
        proposal_id=proposal_id,
        index=state.log.last.index + 1,
        term=state.term,
    )
    state, effects = append_as_leader(state, event.payload, now)
    return state, (appended, *effects)


def _handle_read_request(
    state: NodeState, read_id: int, now: float
) -> Transition:
    state, refused = begin_read(state, read_id)
    state, requests = send_pending(state, now, heartbeat=True)
    state, confirmed = confirm_reads(state)
    return state, refused + requests + confirmed


def _handle_envelope(
    state: NodeState, envelope: Envelope, now: float
) -> Transition:
    if envelope.recipient != state.identity:
        return state, ()
    hard_state = state.hard_state
    if hard_state.cluster_id not in {'', envelope.cluster_id}:
        return state, ()
    state, cluster_id_saved = save_hard_state(
        state,
        HardState(
            term=hard_state.term,
            voted_for=hard_state.voted_for,
            cluster_id=envelope.cluster_id,
        ),
    )
    state, effects = _dispatch_message(state, envelope, now)
    return state, cluster_id_saved + effects


def _dispatch_message(
    state: NodeState, envelope: Envelope, now: float
) -> Transition:
    sender = envelope.sender
    match envelope.message:
        case VoteRequest() as request:
            return handle_vote_request(state, sender, request, now)
        case VoteReply() as vote:
            return handle_vote_reply(state, sender, vote, now)
        case AppendRequest() as entries:
            return handle_append_request(state, sender, entries, now)
        case SnapshotRequest() as snapshot:
            return handle_snapshot_request(state, sender, snapshot, now)
        case AppendReply() as reply:
            return handle_append_reply(state, sender, reply, now)
