"""Events 8xxx: callers' sessions, members' announcements and promotions."""

import enum

from lavendergate.observability.event_type import Event, Level, define

# What decided about a statement, with the version or age of each.
_REQUEST = (
    'database',
    'routes_version',
    'service',
    'consistency',
    'primary',
    'term',
    'position',
    'position_age_ms',
)


@enum.unique
class SessionEvent(Event):
    """Events of hosts that serve sessions, and of the hosts that steer them."""

    request_refused = define(
        8001,
        Level.info,
        'statement {kind} of request {request_id} was refused as {code} after '
        '{waited_ms} ms: {reason}',
        'Nothing for single cases; look at the reason if they repeat.',
        extra=('attempts', 'upstream', *_REQUEST),
    )
    request_delayed = define(
        8002,
        Level.info,
        'statement {kind} of request {request_id} took {waited_ms} ms and '
        '{attempts} attempts, served by {upstream}',
        'Nothing for single cases; look at the member if they repeat.',
        extra=_REQUEST,
    )
    member_regained = define(
        8009,
        Level.info,
        'member {upstream} of service {service} answers again after '
        '{failed_ms} ms',
    )
    member_suspected = define(
        8010,
        Level.warning,
        'member {upstream} of service {service} does not answer: {reason}',
        'Look at the member, and at the network between it and this host.',
    )
    member_changed = define(
        8011,
        Level.info,
        'member {upstream} of service {service} is {availability} at {address}',
        extra=('is_primary', 'born', 'sequence'),
    )
    primary_noticed = define(
        8012,
        Level.info,
        'member {upstream} leads service {service} in term {term}',
    )
    routes_in_force = define(
        8020, Level.info, 'route table {version} is in force'
    )
    routes_published = define(
        8021, Level.info, 'route table {version} is committed'
    )
    control_lost = define(
        8030,
        Level.warning,
        'no control host answers: {reason}',
        'Look at the control hosts and at the network; the host serves on '
        'with what it knows.',
    )
    control_regained = define(
        8031, Level.info, 'control host {address} answers again'
    )
    settings_reloaded = define(
        8040, Level.info, 'the settings file was read again: {outcome}'
    )
    takeover_begun = define(
        8050,
        Level.warning,
        'service {service} gets another primary: {reason}',
        'Look at the former primary.',
        extra=('former', 'term'),
    )
    takeover_waits = define(
        8051,
        Level.warning,
        'service {service} waits for another primary: {reason}',
        'Look at the members that the reason names; a commit could be lost '
        'if the promotion did not wait.',
        extra=('candidate',),
    )
    promotion_ordered = define(
        8052,
        Level.info,
        'member {upstream} is to lead service {service}, token {token}: '
        '{outcome}',
        extra=('received',),
    )
    takeover_ended = define(
        8053,
        Level.info,
        'the takeover of service {service} ended: {outcome}',
        extra=('duration_ms',),
    )
    group_changed = define(
        8060,
        Level.info,
        'the control group is to change: {change}',
        extra=('voters', 'learners'),
    )
    group_formed = define(
        8061, Level.info, 'the control group was formed by {hosts}'
    )
    log_replaced = define(
        8062,
        Level.error,
        'the control log is damaged and was emptied: {reason}',
        'Check the disk; the host joins the group again as a new one.',
    )
