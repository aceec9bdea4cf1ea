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


def earlier_entry(**changes: object) -> list[object]:
    """Return the entry of a member as the build f0f2d71 encoded it.

    It is an array, and the values of its fields had no bounds.
    """
    fields: dict[str, object] = {
        'upstream_id': 'i-1',
        'service': 's1',
        'address': '10.0.0.1:80',
        'failure_domain': 'zone-a',
        'slots': 2,
        'availability': 'ready',
        'is_primary': False,
        'born': 1_700_000_000_000,
        'sequence': 4,
    }
    return list((fields | changes).values())


ODD_FIELDS: tuple[dict[str, object], ...] = (
    {'address': '10.0.0.1:70000'},
    {'address': 'localhost:80'},
    {'failure_domain': ''},
    {'failure_domain': 'z' * 1_000_000},
    {'slots': 0},
    {'slots': -4},
    {'slots': (1 << 64) - 1},
    {'born': (1 << 64) - 1},
    {'born': -1},
    {'sequence': (1 << 64) - 1},
    {'service': 's\r\nQUERY - DEMOTE 9'},
    {'upstream_id': ''},
    {'upstream_id': 'i' * 3000},
)


def earlier_entries() -> list[list[object]]:
    """Return odd entries of that build between two valid ones."""
    odd = [
        earlier_entry(**({'upstream_id': f'i-odd-{number}'} | fields))
        for number, fields in enumerate(ODD_FIELDS)
    ]
    return [earlier_entry(), *odd, earlier_entry(upstream_id='i-2')]


def earlier_sync_reply() -> list[object]:
    """Return the answer of a control host of that build."""
    return [
        ['c1/0', 7],
        True,
        '10.0.0.5:7440',
        ['10.0.0.5:7440', '10.0.0.6:70000'],
        3,
        None,
        earlier_entries(),
        [['s1', 'i-1', 3], ['s2', 'i-2', (1 << 64) - 1]],
        [['s1', {'term': 3, 'position': 9}, 5, None]],
        2,
        500,
        [],
        [],
        [4, {'zone-a': ['10.0.0.8:7440', '10.0.0.9:70000', '']}, []],
    ]
