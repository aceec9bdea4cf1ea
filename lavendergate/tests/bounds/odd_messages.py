"""Messages as other builds and writers may send them."""

from lavendergate.core.consensus.messages import Envelope, VoteReply
from lavendergate.core.consensus.types import ConsensusTerm, NodeId
from lavendergate.core.types import HostId


def envelope() -> Envelope:
    """Return a message of the replicated log."""
    node = NodeId(host_id=HostId('c1'), incarnation='i1')
    return Envelope(
        sender=node,
        recipient=node,
        cluster_id='c',
        message=VoteReply(term=ConsensusTerm(1), granted=True, pre_vote=False),
    )
