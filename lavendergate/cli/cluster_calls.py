"""Calls for the first start and the repair of the control hosts.

The messages belong to `lavendergate.rpc.consensus_service`, which is loaded
on use, so that the other commands work in a build without it.
"""

import importlib
from collections.abc import Sequence
from typing import Any

from lavendergate.cli.control_client import ControlClient
from lavendergate.cli.outcome import CommandError, refused

_MODULE = 'lavendergate.rpc.consensus_service'


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
    service = _service()
    hosts = {}
    waiting = []
    for candidate in addresses:
        identity = await _identify(client, service, candidate)
        if not identity.initialised:
            waiting.append(candidate)
        elif not is_resumed:
            raise _initialised(candidate, identity.host_id)
        hosts[candidate] = _control_host(service, identity, candidate)
    request = service.ClusterInitRequest(voters=tuple(hosts.values()))
    for address in waiting:
        reply = await client.ask(service.CLUSTER_INIT, request, address=address)
        if not reply.accepted:
            raise refused(f'{address} refused: {reply.problem}')
    return tuple(host.host_id for host in hosts.values())


async def replace(
    client: ControlClient, old_host_id: str, new_address: str
) -> str:
    """Replace a voter by the host at an address and return its id.

    Raises
    ------
    CommandError
        If the new host does not answer, or the leader refuses.
    """
    service = _service()
    identity = await _identify(client, service, new_address)
    if identity.initialised:
        raise _initialised(new_address, identity.host_id)
    new_host = _control_host(service, identity, new_address)
    reply = await client.ask(
        service.CLUSTER_REPLACE,
        service.ClusterReplaceRequest(
            old_host_id=old_host_id, new_host=new_host
        ),
    )
    if not reply.accepted:
        raise refused(reply.problem or 'refused')
    return str(new_host.host_id)


async def _identify(client: ControlClient, service: Any, address: str) -> Any:
    return await client.ask(
        service.HOST_IDENTITY, service.HostIdentityRequest(), address=address
    )


def _control_host(service: Any, identity: Any, address: str) -> Any:
    return service.ControlHost(
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


def _service() -> Any:
    try:
        return importlib.import_module(_MODULE)
    except ImportError as error:
        raise refused(
            f'this build has no {_MODULE}; use a build with the control role'
        ) from error
