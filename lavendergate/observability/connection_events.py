"""Events 2xxx: connections to members and their shares."""

import enum

from lavendergate.observability.event_type import Event, Level, define

_MEMBER = ('group', 'term')


@enum.unique
class ConnectionEvent(Event):
    """Events of connections to members and of leased shares."""

    connection_opened = define(
        2001,
        Level.debug,
        'connection {connection} to member {upstream} opened',
        extra=(*_MEMBER, 'duration_ms'),
    )
    connection_retired = define(
        2002,
        Level.info,
        'connection {connection} to member {upstream} retired: {reason}',
        extra=_MEMBER,
    )
    connection_silent = define(
        2003,
        Level.warning,
        'connection {connection} to member {upstream} gave no answer for '
        '{silent_ms} ms',
        'Nothing if a probe on a new connection succeeds; else look for a '
        'partition or a stopped member.',
        extra=_MEMBER,
    )
    connection_failed = define(
        2004,
        Level.warning,
        'member {upstream} refused a connection: {reason}',
        'For "Too many connections": find who besides lavendergate connects '
        'to the member.',
        extra=_MEMBER,
    )
    connection_lost = define(
        2005,
        Level.info,
        'connection {connection} to member {upstream} broke: {reason}',
        'Look at the member if this repeats.',
        extra=_MEMBER,
    )
    share_granted = define(
        2010,
        Level.info,
        'proxy {proxy} may hold {connections} connections to member {upstream}',
        extra=('group', 'reserved', 'lease_s', 'previous'),
    )
    share_returned = define(
        2011,
        Level.info,
        'proxy {proxy} handed back {connections} connections to member '
        '{upstream}',
        extra=('group',),
    )
    share_expired = define(
        2012,
        Level.warning,
        'the share of proxy {proxy} in member {upstream} expired',
        'Look at the proxy: it sent no heartbeat for one lease time.',
        extra=('group', 'connections'),
    )
    share_reclaimed = define(
        2013,
        Level.info,
        '{connections} connections to member {upstream} were reclaimed from '
        'proxy {proxy}',
        extra=('group', 'duration_ms'),
    )
    connections_killed = define(
        2014,
        Level.warning,
        '{connections} connections of proxy {proxy} to member {upstream} '
        'were killed',
        'Look at the proxy if it still runs.',
        extra=('group',),
    )
    connection_limit_exceeded = define(
        2015,
        Level.error,
        'member {upstream} reports {connections} connections, its limit is '
        '{limit}',
        'Find who besides lavendergate connects to the member.',
        extra=('group',),
    )
    reservation_empty = define(
        2016,
        Level.warning,
        'member {upstream} allows {limit} connections for {proxies} proxies, '
        'none is reserved',
        'Raise the connection limit of the member or run fewer proxies.',
        extra=('group',),
    )
    member_ejected = define(
        2020,
        Level.warning,
        'member {upstream} of group {group} is ejected: {reason}',
        'Look at the load and the disk of the member.',
        extra=('latency_ms', 'usual_ms'),
    )
    member_readmitted = define(
        2021,
        Level.info,
        'member {upstream} of group {group} is used again',
        extra=('latency_ms', 'ejected_ms'),
    )
    adaptive_limit_changed = define(
        2022,
        Level.debug,
        'at most {limit} statements run on member {upstream}',
        extra=('group', 'previous', 'latency_ms'),
    )
