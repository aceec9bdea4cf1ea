"""Calls that initialise and repair a cluster of control hosts."""

from collections.abc import Sequence

from lavendergate.cli.control_client import ControlClient
from lavendergate.cli.errors import CommandError, problem_error
from lavendergate.core.types import HostId
from lavendergate.rpc.consensus_service import (
    CLUSTER_INIT,
    CLUSTER_REPLACE,
    HOST_IDENTITY,
    ClusterInitRequest,
    ClusterReplaceRequest,
    ControlHost,
    HostIdentityReply,
    HostIdentityRequest,
)


async def initialise_cluster(
    client: ControlClient, addresses: Sequence[str], *, is_resumed: bool
) -> tuple[str, ...]:
    """Write the first configuration to all hosts and return their host ids.

    Parameters
    ----------
    addresses
        Addresses of all hosts of the cluster, ``ip:port``.
    is_resumed
        Whether an earlier call failed halfway, so that hosts that are already
        initialised are skipped instead of reported as an error.

    Raises
    ------
    CommandError
        If a host does not answer, is already initialised without
        `is_resumed`, or refuses the request.
    """
    hosts = []
    uninitialised = []
    for candidate in addresses:
        identity = await _identify(client, candidate)
        if not identity.initialised:
            uninitialised.append(candidate)
        elif not is_resumed:
            raise _already_initialised(candidate, identity.host_id)
        hosts.append(_control_host(identity, candidate))
    request = ClusterInitRequest(voters=tuple(hosts))
    for address in uninitialised:
        reply = await client.call(CLUSTER_INIT, request, address=address)
        if not reply.accepted:
            raise problem_error(
                f'{address} refused the configuration: {reply.problem}'
            )
    return tuple(host.host_id for host in hosts)


async def replace_voter(
    client: ControlClient, old_host_id: str, new_address: str
) -> str:
    """Replace a voter with the host at an address and return its host id.

    Raises
    ------
    CommandError
        If the new host does not answer or is already initialised, or if the
        leader refuses the request.
    """
    identity = await _identify(client, new_address)
    if identity.initialised:
        raise _already_initialised(new_address, identity.host_id)
    new_host = _control_host(identity, new_address)
    request = ClusterReplaceRequest(
        old_host_id=HostId(old_host_id), new_host=new_host
    )
    reply = await client.call(CLUSTER_REPLACE, request)
    if not reply.accepted:
        raise problem_error(
            reply.problem or 'the control hosts refused the replacement'
        )
    return new_host.host_id


async def _identify(client: ControlClient, address: str) -> HostIdentityReply:
    return await client.call(
        HOST_IDENTITY, HostIdentityRequest(), address=address
    )


def _control_host(identity: HostIdentityReply, address: str) -> ControlHost:
    return ControlHost(
        host_id=identity.host_id,
        incarnation=identity.incarnation,
        address=address,
    )


def _already_initialised(address: str, host_id: str) -> CommandError:
    return problem_error(
        f'{address} ({host_id}) already belongs to a cluster; after a failed '
        '"cluster init" repeat it with --resume, otherwise restart the host '
        'with an empty data directory',
    )
