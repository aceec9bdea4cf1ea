"""Message exchange between the nodes of the replicated log."""

from lavendergate.controllers.inbox import Inbox
from lavendergate.core.consensus.events import DeliveryFailed, Receive
from lavendergate.core.consensus.messages import Envelope, SnapshotRequest
from lavendergate.rpc.transport import Transport, TransportError

_MESSAGE_TIMEOUT_S = 1.0
_SNAPSHOT_TIMEOUT_S = 30.0


async def exchange(
    transport: Transport, inbox: Inbox, address: str, envelope: Envelope
) -> None:
    """Send a message, and post its reply or a delivery failure.

    Parameters
    ----------
    transport
        Transport to the other nodes.
    inbox
        Inbox of the sending node, which receives the result.
    address
        Address of the recipient, ``ip:port``.
    envelope
        Message with sender and recipient.
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
