"""Random schedules of faults and requests for the consensus simulation."""

from collections.abc import Callable

import msgspec

from lavendergate.core.commands import ChangeVoters
from lavendergate.core.consensus.types import configuration_of
from lavendergate.core.types import HostId
from properties.consensus_checks import ViolationError
from properties.consensus_simulator import Simulation

_STEPS = 500
_MEAN_STEP_S = 0.02
_RECOVERY_STEPS = 3000
_RECOVERY_DELIVERIES = 20
_DROP_PROBABILITY = 0.05
_ACTION_PROBABILITY = 0.4
_MAX_PAUSE_S = 1.0
_STALL_S = 0.7


def run_schedule(simulation: Simulation) -> None:
    """Run a random schedule, end all faults and check the recovery.

    Raises
    ------
    ViolationError, InvariantViolationError
        If a property does not hold.
    """
    random = simulation.random
    simulation.drop = _DROP_PROBABILITY
    simulation.max_deliveries = random.choice((2, 4, 8))
    actions = list(_ACTIONS)
    weights = [_ACTIONS[action] for action in actions]
    for _ in range(_STEPS):
        simulation.advance(random.uniform(0, 2 * _MEAN_STEP_S))
        if random.random() < _ACTION_PROBABILITY:
            action = random.choices(actions, weights)[0]
            action(simulation)
    _check_recovery(simulation)


def _check_recovery(simulation: Simulation) -> None:
    simulation.drop = 0
    simulation.max_deliveries = _RECOVERY_DELIVERIES
    simulation.cuts.clear()
    for host_id, host in simulation.hosts.items():
        host.paused_until = 0
        simulation.crash(host_id)
        simulation.restart(host_id)
        host.storage.fail_after(None)
    expected = simulation.checks.last_committed + 1
    for _ in range(_RECOVERY_STEPS):
        simulation.advance(_MEAN_STEP_S)
        for host_id in simulation.leaders:
            host = simulation.hosts[host_id]
            if host.node and not host.proposals:
                simulation.propose(host_id)
            if len(host.applied) > expected:
                simulation.checks.check_survival(host.applied)
                return
    raise ViolationError('no command was committed after all faults ended')


def _propose(simulation: Simulation) -> None:
    for host_id in simulation.leaders:
        simulation.propose(host_id)


def _read(simulation: Simulation) -> None:
    for host_id in simulation.leaders:
        simulation.read(host_id)


def _crash(simulation: Simulation) -> None:
    simulation.crash(_any_host(simulation))


def _crash_leader(simulation: Simulation) -> None:
    for host_id in simulation.leaders:
        simulation.crash(host_id)


def _crash_and_restart(simulation: Simulation) -> None:
    host_id = _any_host(simulation)
    simulation.crash(host_id)
    simulation.restart(host_id)


def _pause(simulation: Simulation) -> None:
    host = simulation.hosts[_any_host(simulation)]
    pause_s = simulation.random.uniform(0, _MAX_PAUSE_S)
    host.paused_until = simulation.now + pause_s


def _stall(simulation: Simulation) -> None:
    # All hosts lose their leader at once and compete for the next term.
    simulation.advance(_STALL_S)


def _fail_storage(simulation: Simulation) -> None:
    host = simulation.hosts[_any_host(simulation)]
    host.storage.fail_after(simulation.random.randint(0, 4))


def _restart(simulation: Simulation) -> None:
    for host_id, host in simulation.hosts.items():
        if host.node is None:
            simulation.restart(host_id)


def _cut(simulation: Simulation) -> None:
    sender, recipient = _any_host(simulation), _any_host(simulation)
    simulation.cuts.add((sender, recipient))
    if simulation.random.random() < 0.5:
        simulation.cuts.add((recipient, sender))


def _isolate(simulation: Simulation) -> None:
    host_id = _any_host(simulation)
    for other in simulation.hosts:
        simulation.cuts |= {(host_id, other), (other, host_id)}


def _heal(simulation: Simulation) -> None:
    simulation.cuts.clear()


def _compact(simulation: Simulation) -> None:
    simulation.compact(_any_host(simulation))


def _wipe(simulation: Simulation) -> None:
    host_id = _any_host(simulation)
    lost = simulation.wiped | {simulation.hosts[host_id].identity}
    last_index = simulation.checks.last_committed
    known = simulation.checks.configurations
    committed = [index for index in known if index <= last_index]
    relevant = [
        configuration
        for index, configuration in known.items()
        if index >= max(committed, default=0)
    ]
    # Unless a majority keeps its disks, any protocol loses data.
    if all(
        configuration_after.has_majority(
            configuration_after.voters - frozenset(lost)
        )
        for configuration_after in relevant
    ):
        simulation.wipe(host_id)


def _reconfigure(simulation: Simulation) -> None:
    for leader in simulation.leaders:
        node = simulation.hosts[leader].node
        if node is None or node.configuration is None:
            continue
        host_id = _any_host(simulation)
        proposed = _toggle_host(simulation, node.configuration.command, host_id)
        configuration_after = configuration_of(0, proposed)
        # Operators must keep a majority of voters whose disks were not lost.
        if configuration_after.has_majority(
            configuration_after.voters - frozenset(simulation.wiped)
        ):
            simulation.propose_voters(leader, proposed)


def _toggle_host(
    simulation: Simulation, current: ChangeVoters, host_id: HostId
) -> ChangeVoters:
    identity = simulation.hosts[host_id].identity
    if current.incarnations.get(host_id, identity.incarnation) != (
        identity.incarnation
    ):
        return _without(current, host_id)
    if host_id in current.learners:
        return msgspec.structs.replace(
            current,
            voters=current.voters | {host_id},
            learners=current.learners - {host_id},
        )
    if host_id in current.voters:
        return _without(current, host_id)
    return ChangeVoters(
        voters=current.voters,
        learners=current.learners | {host_id},
        addresses=current.addresses | {host_id: 'address'},
        incarnations=current.incarnations | {host_id: identity.incarnation},
    )


def _without(current: ChangeVoters, host_id: HostId) -> ChangeVoters:
    return ChangeVoters(
        voters=current.voters - {host_id},
        learners=current.learners - {host_id},
        addresses=_drop_key(current.addresses, host_id),
        incarnations=_drop_key(current.incarnations, host_id),
    )


def _drop_key(mapping: dict[HostId, str], key: HostId) -> dict[HostId, str]:
    return {
        host_id: kept for host_id, kept in mapping.items() if host_id != key
    }


def _any_host(simulation: Simulation) -> HostId:
    return simulation.random.choice(sorted(simulation.hosts))


_ACTIONS: dict[Callable[[Simulation], None], float] = {
    _propose: 40,
    _read: 8,
    _crash: 3,
    _crash_leader: 3,
    _crash_and_restart: 10,
    _pause: 3,
    _stall: 4,
    _fail_storage: 4,
    _restart: 10,
    _cut: 4,
    _isolate: 3,
    _heal: 8,
    _compact: 6,
    _wipe: 2,
    _reconfigure: 6,
}
