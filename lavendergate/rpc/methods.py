"""RPC methods of the daemon that serves groups of MySQL databases."""

from lavendergate.rpc import messages
from lavendergate.rpc.proposals import ProposeReply, ProposeRequest
from lavendergate.rpc.service import Method

ANNOUNCE = Method(
    path='/lavendergate.Membership/Announce',
    request_type=messages.AnnounceRequest,
    reply_type=messages.AnnounceReply,
)
HEARTBEAT = Method(
    path='/lavendergate.Membership/Heartbeat',
    request_type=messages.HeartbeatRequest,
    reply_type=messages.HeartbeatReply,
)
PROPOSE = Method(
    path='/lavendergate.Control/Propose',
    request_type=ProposeRequest,
    reply_type=ProposeReply,
)
SWITCHOVER = Method(
    path='/lavendergate.Control/Switchover',
    request_type=messages.SwitchoverRequest,
    reply_type=messages.SwitchoverReply,
)
STATUS = Method(
    path='/lavendergate.Control/Status',
    request_type=messages.StatusRequest,
    reply_type=messages.StatusReply,
)
