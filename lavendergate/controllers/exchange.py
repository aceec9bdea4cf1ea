"""Sends messages of the replicated log and returns their answers."""

from lavendergate.controllers.inbox import Inbox
from lavendergate.core.consensus.events import DeliveryFailed, Receive
from lavendergate.core.consensus.messages import Envelope, SnapshotRequest
from lavendergate.rpc.transport import Transport, TransportError

_MESSAGE_TIMEOUT_S = 1.0
_SNAPSHOT_TIMEOUT_S = 30.0


async def exchange(
    transport: Transport, inbox: Inbox, address: str, envelope: Envelope
) -> None:
    """Send a message and post its answer, or that there is none.

    Parameters
    ----------
    transport
        Transport to the other nodes.
    inbox
        Inbox of the sender.
    address
        Address of the recipient, ``ip:port``.
    envelope
        The message.
    """
    is_snapshot = isinstance(envelope.message, SnapshotRequest)
    timeout_s = _SNAPSHOT_TIMEOUT_S if is_snapshot else _MESSAGE_TIMEOUT_S
    try:
        reply = await transport.exchange(address, envelope, timeout_s=timeout_s)
    except TransportError:
        reply = None
    if reply is None:
        inbox.post(DeliveryFailed(recipient=envelope.recipient))
    else:
        inbox.post(Receive(envelope=reply))
