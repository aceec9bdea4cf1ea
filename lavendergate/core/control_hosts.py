"""Application of the commands that register and remove proxy hosts.

Each function returns the registered hosts, and the reason for refusing the
command or None.
"""

from lavendergate.core.commands import RegisterHost, RemoveHost
from lavendergate.core.control_records import HostRecord
from lavendergate.core.types import HostId

Hosts = dict[HostId, HostRecord]


def register_host(
    hosts: Hosts, command: RegisterHost
) -> tuple[Hosts, str | None]:
    """Register a host unless another one uses its id or address."""
    problem = _find_problem(hosts, command)
    if problem is not None:
        return hosts, problem
    record = HostRecord(
        host_id=command.host_id,
        incarnation=command.incarnation,
        region=command.region,
        failure_domain=command.failure_domain,
        address=command.address,
    )
    return hosts | {command.host_id: record}, None


def remove_host(hosts: Hosts, command: RemoveHost) -> tuple[Hosts, str | None]:
    """Remove a host if the given incarnation of it is registered."""
    known = hosts.get(command.host_id)
    if known is None:
        return hosts, None
    if known.incarnation != command.incarnation:
        return hosts, (
            f'host {known.host_id} is registered with incarnation '
            f'{known.incarnation}, not {command.incarnation}: remove the '
            'incarnation that is registered'
        )
    return {
        host_id: record
        for host_id, record in hosts.items()
        if host_id != command.host_id
    }, None


def _find_problem(hosts: Hosts, command: RegisterHost) -> str | None:
    known = hosts.get(command.host_id)
    if known is not None and known.incarnation != command.incarnation:
        return (
            f'host id {command.host_id} is used by incarnation '
            f'{known.incarnation} at {known.address} and also claimed by '
            f'incarnation {command.incarnation} at {command.address}: give '
            'one of them another host id, or wait until the first is removed'
        )
    for other in hosts.values():
        if other.address == command.address and other != known:
            return (
                f'address {command.address} is used by host {other.host_id} '
                f'and also claimed by host {command.host_id}: give one of them '
                'another address, or wait until the first is removed'
            )
    return None
