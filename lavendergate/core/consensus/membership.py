"""Initialisation and changes of the voter configuration."""

from dataclasses import replace

from lavendergate.core.commands import ChangeVoters
from lavendergate.core.consensus.events import ProposalAppended, ProposalRefused
from lavendergate.core.consensus.payload import cluster_id_of, encode_command
from lavendergate.core.consensus.replication import append_as_leader
from lavendergate.core.consensus.state import (
    Leader,
    NodeState,
    Transition,
    append_entries,
    save_hard_state,
)
from lavendergate.core.consensus.types import (
    FIRST_CONSENSUS_TERM,
    Configuration,
    Entry,
    HardState,
    configuration_of,
)


def bootstrap(state: NodeState, voters: ChangeVoters, now: float) -> Transition:
    """Write the first configuration if the node is uninitialised.

    All nodes write the same first entry in the first term, so their logs
    agree from the start.
    """
    if state.hard_state.cluster_id:
        return state, ()
    hard_state = HardState(
        term=FIRST_CONSENSUS_TERM, cluster_id=cluster_id_of(voters)
    )
    entry = Entry(
        index=1,
        term=FIRST_CONSENSUS_TERM,
        payload=encode_command(voters),
        is_configuration=True,
    )
    state, saved = save_hard_state(state, hard_state)
    state, appended = append_entries(state, (entry,))
    state = replace(state, election_at=now + state.election_timeout_s)
    return state, saved + appended


def propose_configuration(
    state: NodeState, proposal_id: int, voters: ChangeVoters, now: float
) -> Transition:
    """Append a configuration if the change is safe in the current state."""
    role = state.role
    current = state.configuration
    if not isinstance(role, Leader) or current is None:
        return state, (ProposalRefused(proposal_id=proposal_id, problem=None),)
    problem = problem_with_change(state, role, current, voters)
    if problem is not None:
        return state, (
            ProposalRefused(proposal_id=proposal_id, problem=problem),
        )
    appended = ProposalAppended(
        proposal_id=proposal_id,
        index=state.log.last.index + 1,
        term=state.term,
    )
    state, effects = append_as_leader(
        state, encode_command(voters), now, is_configuration=True
    )
    return state, (appended, *effects)


def problem_with_change(
    state: NodeState, role: Leader, current: Configuration, voters: ChangeVoters
) -> str | None:
    """Return why a configuration must not be appended, or None."""
    if state.commit_index < role.first_index:
        return (
            'the leader has not committed an entry of its term yet: '
            'retry when it has'
        )
    if state.commit_index < current.index:
        return (
            f'the configuration in entry {current.index} is not committed '
            'yet: retry when it is'
        )
    return _problem_with_configuration(current, voters)


def _problem_with_configuration(
    current: Configuration, voters: ChangeVoters
) -> str | None:
    proposed = configuration_of(current.index, voters)
    hosts = voters.voters | voters.learners
    if not proposed.voters:
        return 'the configuration has no voter: name at least one'
    incomplete = hosts - (voters.incarnations.keys() & voters.addresses.keys())
    if incomplete:
        return (
            f'no incarnation or address is given for {sorted(incomplete)}: '
            'read the identities of the hosts first'
        )
    if voters.voters & voters.learners:
        return (
            f'{sorted(voters.voters & voters.learners)} are voters and '
            'learners at once: name each host once'
        )
    if len(proposed.voters ^ current.voters) > 1:
        return (
            'the configuration changes more than one voter: change one voter '
            'at a time'
        )
    not_learners = proposed.voters - current.nodes
    if not_learners:
        names = sorted(node.host_id for node in not_learners)
        return f'{names} are not learners yet: add them as learners first'
    return None
