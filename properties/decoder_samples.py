"""Valid messages of all kinds, as starting points of mutations."""

import json

import msgspec

from lavendergate.core.commands import (
    ChangeVoters,
    Command,
    OrderPromotion,
    PublishRoutes,
)
from lavendergate.core.consensus.messages import (
    AppendReply,
    AppendRequest,
    Envelope,
    Message,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
)
from lavendergate.core.consensus.payload import encode_command
from lavendergate.core.consensus.types import (
    ConsensusTerm,
    Entry,
    EntryId,
    HardState,
    NodeId,
    Snapshot,
)
from lavendergate.core.control_records import PromotionRecord, RoutesRecord
from lavendergate.core.control_routes import pack_routes
from lavendergate.core.control_state import ControlState, encode_state
from lavendergate.core.customers.table import CustomerName
from lavendergate.core.fleet_directory import MemberAvailability, MemberEntry
from lavendergate.core.routes import RoutesVersion
from lavendergate.core.sessions.statements import MemberReport, Phase
from lavendergate.core.types import (
    FailureDomain,
    GroupId,
    HostId,
    LogPosition,
    Term,
    UpstreamId,
)
from lavendergate.rpc.fleet_service import (
    FleetVersion,
    MergeRequest,
    PositionNotice,
    PrimaryNotice,
    PrimaryReachability,
    ProxyChanges,
    RelayOffer,
    RoutesProposal,
    RoutesReply,
    SyncReply,
    SyncRequest,
)
from lavendergate.rpc.limit_service import (
    LimitAnswer,
    LimitQuestion,
    LimitReply,
    LimitRequest,
)
from lavendergate.rpc.relay_service import (
    RelayedExecute,
    RelayedRead,
    RelayReply,
    RelayRequest,
    RelayStatus,
)
from lavendergate.storage import records
from lavendergate.storage.fleet_state_file import SavedFleetState

ROUTES = json.dumps(
    {
        'version': 7,
        'routes': [
            {
                'name': 'r1',
                'database': 'd1',
                'pathPrefix': '/',
                'routeType': 'bounded_staleness',
                'timeoutMs': 800,
                'targetLatencyMs': 600,
                'priority': 1,
                'service': 's1',
                'maxStalenessMs': 1500,
                'public': True,
            }
        ],
        'services': [{'name': 's1', 'maxConns': 16, 'syncReplicas': 1}],
        'limits': {'txnIdleMs': 2000},
        'tenants': [
            {
                'name': 't1',
                'apiKeys': ['k1', 'k2'],
                'priority': 1,
                'ratePerS': 2.5,
                'burst': 4,
            }
        ],
    }
).encode()

ANNOUNCEMENT = json.dumps(
    {
        'service': 's1',
        'address': '10.0.0.1:80',
        'zone': 'z',
        'version': 'v1',
        'capacity': 3,
        'state': 'ready',
        'warmupLeftMs': 0,
        'dbRole': 'replica',
        'sequence': 4,
        'born': 1_700_000_000_000,
    }
).encode()

SETTINGS = b"""
nodeName = "edge-1"
ip = "10.1.0.8"
zone = "z1"
region = "r1"
internalPorts = [7440, 7455]
seeds = ["10.1.0.11:8782", "10.2.0.8:8782"]
[bindAddrs]
front = "10.1.0.8:8784"
[bounds]
graceS = 6
quotaWindowS = 5.0
[cloudApi]
address = "10.200.0.160:8783"
dutyPerS = 50.0
"""

_POSITION = LogPosition(term=Term(3), position=9)
_ENTRY = MemberEntry(
    upstream_id=UpstreamId('i-1'),
    service=GroupId('s1'),
    address='10.0.0.1:80',
    failure_domain=FailureDomain('z'),
    slots=2,
    availability=MemberAvailability.ready,
    is_primary=True,
    born=1_700_000_000_000,
    sequence=4,
)
_NODE = NodeId(host_id=HostId('c1'), incarnation='i1')
_LAST = EntryId(term=ConsensusTerm(2), index=5)
_VOTERS = ChangeVoters(
    voters=frozenset((HostId('c1'),)),
    learners=frozenset(),
    addresses={HostId('c1'): '10.0.0.5:7440'},
    incarnations={HostId('c1'): 'i1'},
)
_ROUTES_RECORD = RoutesRecord(
    version=RoutesVersion(7), content=pack_routes(ROUTES)
)
_PUBLISH = PublishRoutes(version=RoutesVersion(7), content=pack_routes(ROUTES))
_ORDER = OrderPromotion(
    service=GroupId('s1'), upstream_id=UpstreamId('i-1'), holder=HostId('c1')
)
_COMMANDS: tuple[Command, ...] = (_PUBLISH, _ORDER, _VOTERS)
COMMANDS = tuple(map(encode_command, _COMMANDS))
_LOG_ENTRY = Entry(index=6, term=ConsensusTerm(2), payload=COMMANDS[1])
STATE = encode_state(
    ControlState(
        applied_index=5,
        voters=_VOTERS,
        routes=_ROUTES_RECORD,
        promotions={
            GroupId('s1'): PromotionRecord(
                upstream_id=UpstreamId('i-1'), holder=HostId('c1'), token=4
            )
        },
    )
)
SNAPSHOT = Snapshot(last=_LAST, voters=_VOTERS, state=STATE)


def _envelope(message: Message) -> Envelope:
    return Envelope(
        sender=_NODE, recipient=_NODE, cluster_id='c', message=message
    )


_TERM = ConsensusTerm(2)
_MESSAGES: tuple[Message, ...] = (
    VoteRequest(term=_TERM, last=_LAST, pre_vote=False),
    VoteReply(term=_TERM, granted=True, pre_vote=True),
    AppendRequest(
        term=_TERM,
        previous=_LAST,
        entries=(_LOG_ENTRY,),
        commit_index=5,
        read_round=1,
    ),
    SnapshotRequest(term=_TERM, snapshot=SNAPSHOT, read_round=1),
    AppendReply(term=_TERM, accepted=True, match_index=5, read_round=1),
)
ENVELOPES = tuple(map(_envelope, _MESSAGES))

CHANGES: tuple[records.Change, ...] = (
    records.HardStateChange(
        hard_state=HardState(term=_TERM, voted_for=_NODE, cluster_id='c')
    ),
    records.Rebased(base=_LAST),
    records.Appended(entries=(_LOG_ENTRY,)),
    records.Truncated(first=6),
)
IDENTITY = records.IdentityFile(identity=_NODE)
SAVED = SavedFleetState(entries=(_ENTRY,), routes=_ROUTES_RECORD)

SYNC_REQUEST = SyncRequest(
    host_id=HostId('p1'),
    is_proxy=True,
    known=FleetVersion(source='c1/0', version=4),
    routes_version=7,
    reach=(
        PrimaryReachability(
            service=GroupId('s1'),
            upstream_id=UpstreamId('i-1'),
            reachable=True,
        ),
    ),
    wait_s=0.6,
    withheld=(GroupId('s2'),),
    relay=RelayOffer(
        address='10.0.0.8:7440',
        failure_domain=FailureDomain('z'),
        is_stopping=False,
        known_version=3,
    ),
)
SYNC_REPLY = SyncReply(
    version=FleetVersion(source='c1/0', version=5),
    is_leader=True,
    leader='10.0.0.5:7440',
    control_hosts=('10.0.0.5:7440',),
    routes_version=7,
    routes=pack_routes(ROUTES),
    entries=(_ENTRY,),
    primaries=(
        PrimaryNotice(
            service=GroupId('s1'), upstream_id=UpstreamId('i-1'), term=Term(3)
        ),
    ),
    positions=(
        PositionNotice(service=GroupId('s1'), position=_POSITION, age_ms=5),
    ),
    proxies=2,
    lease_ms=500,
    proxy_changes=ProxyChanges(
        version=3, live={FailureDomain('z'): ('10.0.0.8:7440',)}, gone=('x',)
    ),
)
MERGE = MergeRequest(entries=(_ENTRY, _ENTRY))
PROPOSAL = RoutesProposal(command=_PUBLISH)
ROUTES_REPLY = RoutesReply(content=pack_routes(ROUTES))

_RELAY_REQUEST = RelayRequest(
    upstream_id=UpstreamId('i-1'),
    born=1_700_000_000_000,
    statement=RelayedExecute(item='a', content='b', writes=True, text='q'),
    values={'role': 'crew'},
    request_id='r1',
    after=_POSITION,
    transaction=4,
    expires_at_ms=5,
    customer=CustomerName('t1'),
)
_LIMIT_REQUEST = LimitRequest(
    sender='10.0.0.8:7440',
    questions=(LimitQuestion(customer=CustomerName('t1'), slot=1, wanted=2),),
)
_RELAY_REPLY = RelayReply(
    status=RelayStatus.answered,
    now_ms=42,
    rows=('a',),
    phase=Phase.idle,
    position=_POSITION,
    report=MemberReport(
        is_primary=True,
        term=Term(3),
        received=_POSITION,
        paused_term=Term(0),
        lag_ms=12,
        busy=2,
        connections=17,
    ),
)
_LIMIT_REPLY = LimitReply(answers=(LimitAnswer(granted=-1, tokens=1.5),))
# Frames are arrays of their fields.
REQUEST_FRAMES = tuple(
    map(
        msgspec.msgpack.encode,
        (
            [1, _RELAY_REQUEST, None],
            [2, None, _LIMIT_REQUEST],
            [3, None, None],
            [
                4,
                msgspec.structs.replace(
                    _RELAY_REQUEST, statement=RelayedRead(item='a')
                ),
                None,
            ],
        ),
    )
)
REPLY_FRAMES = tuple(
    map(
        msgspec.msgpack.encode,
        ([1, _RELAY_REPLY, 42, None], [2, None, 42, _LIMIT_REPLY]),
    )
)
