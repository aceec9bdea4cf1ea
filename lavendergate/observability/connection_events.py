"""Events 2xxx: connections to members and shares of their limits."""

import enum

from lavendergate.observability.event_type import Event, Level, define

_MEMBER_FIELDS = ('group', 'term')


@enum.unique
class ConnectionEvent(Event):
    """Events of connections to members and of leased shares."""

    connection_opened = define(
        2001,
        Level.debug,
        'connection {connection} to member {upstream} opened',
        extra=(*_MEMBER_FIELDS, 'duration_ms'),
    )
    connection_retired = define(
        2002,
        Level.info,
        'connection {connection} to member {upstream} retired: {reason}',
        extra=_MEMBER_FIELDS,
    )
    connection_silent = define(
        2003,
        Level.warning,
        'connection {connection} to member {upstream} has not answered for '
        '{silent_ms} ms',
        'Nothing if a probe on a new connection succeeds; otherwise look for a '
        'partition or a stopped member.',
        extra=_MEMBER_FIELDS,
    )
    connection_failed = define(
        2004,
        Level.warning,
        'member {upstream} refused a connection: {reason}',
        'For "Too many connections": find the other clients that connect to '
        'the member besides lavendergate.',
        extra=_MEMBER_FIELDS,
    )
    connection_lost = define(
        2005,
        Level.info,
        'connection {connection} to member {upstream} was lost: {reason}',
        'Inspect the member if this repeats.',
        extra=_MEMBER_FIELDS,
    )
    share_granted = define(
        2010,
        Level.info,
        'proxy {proxy} was granted {connections} connections to member '
        '{upstream}',
        extra=('group', 'reserved', 'lease_s', 'previous'),
    )
    share_returned = define(
        2011,
        Level.info,
        'proxy {proxy} returned {connections} connections to member {upstream}',
        extra=('group',),
    )
    share_expired = define(
        2012,
        Level.warning,
        'the share of proxy {proxy} in the connections of member {upstream} '
        'expired',
        'Inspect the proxy: it sent no heartbeat for one lease time.',
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
        'Inspect the proxy if it still runs.',
        extra=('group',),
    )
    connection_limit_exceeded = define(
        2015,
        Level.error,
        'member {upstream} reports {connections} connections, its limit is '
        '{limit}',
        'Find the other clients that connect to the member besides '
        'lavendergate.',
        extra=('group',),
    )
    reservation_empty = define(
        2016,
        Level.warning,
        'the limit of {limit} connections of member {upstream} leaves no '
        'reserved connections for {proxies} proxies',
        'Raise the connection limit of the member or run fewer proxies.',
        extra=('group',),
    )
    member_ejected = define(
        2020,
        Level.warning,
        'member {upstream} of group {group} was ejected: {reason}',
        'Inspect the load and the disk of the member.',
        extra=('latency_ms', 'usual_ms'),
    )
    member_readmitted = define(
        2021,
        Level.info,
        'member {upstream} of group {group} was readmitted',
        extra=('latency_ms', 'ejected_ms'),
    )
    adaptive_limit_changed = define(
        2022,
        Level.debug,
        'concurrency limit of member {upstream} is now {limit} statements',
        extra=('group', 'previous', 'latency_ms'),
    )
