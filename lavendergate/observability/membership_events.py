"""Events 3xxx: members, hosts and the reachability of control."""

import enum

from lavendergate.observability.event_type import Event, Level, define

_HOST_FIELDS = ('address', 'incarnation', 'region', 'failure_domain')


@enum.unique
class MembershipEvent(Event):
    """Events of announced members and of hosts."""

    member_announced = define(
        3001,
        Level.info,
        'member {upstream} of group {group} announced itself from {address}',
        extra=('region', 'failure_domain', 'incarnation', 'role'),
    )
    member_expired = define(
        3002,
        Level.warning,
        'member {upstream} of group {group} sent no announcement for {age_ms} '
        'ms',
        'Inspect the member and its agent.',
    )
    member_leaving = define(
        3003,
        Level.info,
        'member {upstream} of group {group} is leaving',
        extra=('role',),
    )
    member_registered = define(
        3004,
        Level.info,
        'member {upstream} now counts towards majorities of group {group}',
    )
    member_removed = define(
        3005,
        Level.info,
        'member {upstream} was removed from group {group}',
    )
    member_spare = define(
        3006,
        Level.info,
        'member {upstream} of group {group} is a spare: the group already has '
        '{members} members',
        'Remove the member that it replaces with "lavendergatectl members '
        'remove".',
    )
    member_duplicate = define(
        3007,
        Level.error,
        'two processes announce member {upstream}: {holder} and {other}',
        'Stop one of them; the first one remains in use.',
        extra=('group',),
    )
    announcement_refused = define(
        3008,
        Level.warning,
        'an announcement was refused: {reason}',
        'Check LAVENDERGATE_ANNOUNCE_KEY on the agent and on the hosts.',
        extra=('upstream', 'group', 'address'),
    )
    member_restarted = define(
        3009,
        Level.info,
        'member {upstream} of group {group} announced a new incarnation',
        extra=('incarnation',),
    )
    host_joined = define(
        3010,
        Level.info,
        'proxy {proxy} joined from {address}',
        extra=_HOST_FIELDS,
    )
    host_expired = define(
        3011,
        Level.warning,
        'proxy {proxy} sent no heartbeat for {age_ms} ms',
        'Inspect the host; its connections are reclaimed automatically.',
        extra=_HOST_FIELDS,
    )
    host_removed = define(
        3012,
        Level.info,
        'proxy {proxy} was removed and its connections were closed',
        extra=_HOST_FIELDS,
    )
    host_duplicate = define(
        3013,
        Level.error,
        'two processes use the identity {proxy}: {holder} and {other}',
        'Give one of them another host id or address and restart it.',
    )
    host_draining = define(
        3014,
        Level.info,
        'proxy {proxy} is draining',
    )
    partition_suspected = define(
        3020,
        Level.error,
        'this host receives no messages from other hosts; no host is removed',
        'Check the network of this host.',
        extra=('since_ms',),
    )
    partition_ended = define(
        3021,
        Level.info,
        'this host receives messages again after {duration_ms} ms',
    )
    control_unreachable = define(
        3022,
        Level.warning,
        'no control host answers: {reason}',
        'Check the control hosts and the network; until then, statements '
        'continue in the current terms, but no failover takes place.',
        extra=('addresses',),
    )
    control_reachable = define(
        3023,
        Level.info,
        'control host {address} answers again after {duration_ms} ms',
    )
    directory_rebuilt = define(
        3030,
        Level.info,
        'the directory was rebuilt with {members} members of {groups} groups',
        extra=('duration_ms',),
    )
    group_members_missing = define(
        3031,
        Level.warning,
        'group {group} has {present} of {expected} members',
        'Start the missing members or replace them.',
    )
    clock_drift = define(
        3040,
        Level.warning,
        'the clock of {peer} is {drift_ms} ms ahead; its timestamp was ignored',
        'Synchronise the clocks of the hosts; until then, the order of the '
        'timeline between these hosts is uncertain.',
    )
