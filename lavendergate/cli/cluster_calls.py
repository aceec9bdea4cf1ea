"""Calls for the first start and the repair of the control hosts."""

from collections.abc import Sequence

from lavendergate.cli.control_client import ControlClient
from lavendergate.cli.outcome import CommandError, refused
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


async def initialise(
    client: ControlClient, addresses: Sequence[str], *, is_resumed: bool
) -> tuple[str, ...]:
    """Write the first configuration to all hosts and return their ids.

    Parameters
    ----------
    is_resumed
        Whether a former call failed halfway, so that hosts which are
        initialised already are left alone.

    Raises
    ------
    CommandError
        If a host does not answer, is initialised already or refuses.
    """
    hosts = []
    waiting = []
    for candidate in addresses:
        identity = await _identify(client, candidate)
        if not identity.initialised:
            waiting.append(candidate)
        elif not is_resumed:
            raise _initialised(candidate, identity.host_id)
        hosts.append(_control_host(identity, candidate))
    request = ClusterInitRequest(voters=tuple(hosts))
    for address in waiting:
        reply = await client.ask(CLUSTER_INIT, request, address=address)
        if not reply.accepted:
            raise refused(f'{address} refused: {reply.problem}')
    return tuple(host.host_id for host in hosts)


async def replace(
    client: ControlClient, old_host_id: str, new_address: str
) -> str:
    """Replace a voter by the host at an address and return its id.

    Raises
    ------
    CommandError
        If the new host does not answer, or the leader refuses.
    """
    identity = await _identify(client, new_address)
    if identity.initialised:
        raise _initialised(new_address, identity.host_id)
    new_host = _control_host(identity, new_address)
    request = ClusterReplaceRequest(
        old_host_id=HostId(old_host_id), new_host=new_host
    )
    reply = await client.ask(CLUSTER_REPLACE, request)
    if not reply.accepted:
        raise refused(reply.problem or 'refused')
    return new_host.host_id


async def _identify(client: ControlClient, address: str) -> HostIdentityReply:
    return await client.ask(
        HOST_IDENTITY, HostIdentityRequest(), address=address
    )


def _control_host(identity: HostIdentityReply, address: str) -> ControlHost:
    return ControlHost(
        host_id=identity.host_id,
        incarnation=identity.incarnation,
        address=address,
    )


def _initialised(address: str, host_id: str) -> CommandError:
    return refused(
        f'{address} ({host_id}) belongs to a cluster already; after a failed '
        '"cluster init" repeat it with --resume, otherwise start the host '
        'with an empty data directory',
    )
