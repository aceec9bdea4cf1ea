"""Events 8xxx: callers' sessions, members' announcements and promotions."""

import enum

from lavendergate.observability.event_type import Event, Level, define

# Inputs of the routing decision for a statement, with their versions or ages.
_ROUTING_FIELDS = (
    'database',
    'routes_version',
    'service',
    'consistency',
    'primary',
    'home',
    'term',
    'position',
    'position_age_ms',
    'customer',
    'held_ms',
)


@enum.unique
class SessionEvent(Event):
    """Events of proxies and control hosts on the hosting platform."""

    request_refused = define(
        8001,
        Level.info,
        'statement {kind} of request {request_id} was refused as {code} after '
        '{waited_ms} ms: {reason}',
        'Nothing for single cases; look at the reason if they repeat.',
        extra=('attempts', 'upstream', *_ROUTING_FIELDS),
    )
    request_delayed = define(
        8002,
        Level.info,
        'statement {kind} of request {request_id} took {waited_ms} ms and '
        '{attempts} attempts, served by {upstream}',
        'Nothing for single cases; look at the member if they repeat.',
        extra=_ROUTING_FIELDS,
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
        'Inspect the member, and the network between it and this host.',
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
        'member {upstream} is primary of service {service} in term {term}',
    )
    routes_in_force = define(
        8020,
        Level.info,
        'route table {version} is in force',
        extra=('source',),
    )
    routes_published = define(
        8021, Level.info, 'route table {version} is committed'
    )
    control_lost = define(
        8030,
        Level.warning,
        'no control host answers: {reason}',
        'Check the control hosts and the network; until then, the host serves '
        'with the last known routes and members.',
    )
    control_regained = define(
        8031, Level.info, 'control host {address} answers again'
    )
    control_followed = define(
        8032,
        Level.info,
        'this host takes changes from control host {address}',
        extra=('former', 'routes_version'),
    )
    settings_reloaded = define(
        8040, Level.info, 'reload of the settings file: {outcome}'
    )
    takeover_begun = define(
        8050,
        Level.warning,
        'takeover of service {service} by another primary has begun: {reason}',
        'Inspect the previous primary.',
        extra=('former', 'term'),
    )
    takeover_waits = define(
        8051,
        Level.warning,
        'takeover of service {service} is waiting: {reason}',
        'Inspect the members that the reason names; without waiting, the '
        'promotion could lose a commit.',
        extra=('candidate',),
    )
    promotion_ordered = define(
        8052,
        Level.info,
        'promotion of member {upstream} of service {service} was ordered with '
        'fencing token {token}: {outcome}',
        extra=('received',),
    )
    takeover_ended = define(
        8053,
        Level.info,
        'takeover of service {service} ended: {outcome}',
        extra=('duration_ms',),
    )
    takeover_blocked = define(
        8190,
        Level.warning,
        'service {service} has had no safe candidate for {waited_ms} ms: '
        '{reason}',
        'Start the members that the reason names, or the former primary, with '
        'their data. See docs/operations/alarms.md if they are lost for good.',
        extra=('candidate',),
    )
    takeover_unblocked = define(
        8191,
        Level.info,
        'the takeover of service {service} that had no safe candidate ended '
        'after {waited_ms} ms: {outcome}',
    )
    announcement_ignored = define(
        8192,
        Level.info,
        'an announcement of {upstream} contradicts the start that is known: '
        'service {service}, address {address}, sequence {sequence}',
        'Look for another writer that uses the id of this member.',
    )
    first_writes_released = define(
        8057,
        Level.info,
        'writes to member {upstream}, the new primary of service {service} in '
        'term {term}, were held for {held_ms} ms: {outcome}',
        'Nothing for "followed"; for "bound", check that the replicas receive '
        'from the new primary. See docs/operations/first-writes.md.',
        extra=('held', 'refused'),
    )
    lease_granted = define(
        8054,
        Level.info,
        'the primary of service {service} is leased to the proxies again',
    )
    lease_withheld = define(
        8055,
        Level.info,
        'the primary of service {service} is no longer leased to the proxies',
        'Nothing for short times; a primary that stays without lease serves '
        'reads only to proxies that can ask all members.',
    )
    former_primary_demoted = define(
        8056,
        Level.info,
        'member {upstream} of service {service} still considered itself the '
        'primary and was demoted for term {term}',
    )
    home_suspected = define(
        8070,
        Level.warning,
        'home proxy {home} is not used for a moment: {reason}',
        'Inspect that proxy, and the network between it and this host.',
    )
    relayed_transaction_expired = define(
        8071,
        Level.info,
        'a transaction of another proxy at member {upstream} was idle for too '
        'long and was rolled back',
    )
    proxies_changed = define(
        8072,
        Level.info,
        '{count} proxies can be homes of members',
    )
    group_changed = define(
        8060,
        Level.info,
        'a change of the control group was proposed: {change}',
        extra=('voters', 'learners'),
    )
    group_formed = define(
        8061, Level.info, 'the control group was formed by {hosts}'
    )
    log_replaced = define(
        8062,
        Level.error,
        'the damaged control log of this host was deleted: {reason}',
        'Check the disk; the host rejoins the group with a new identity.',
    )
    log_storage_stalled = define(
        8063,
        Level.warning,
        'the control log of this host has waited {waited_ms} ms for its disk',
        'Check the disk; until it answers, the host neither leads nor follows.',
    )
    log_storage_regained = define(
        8064,
        Level.info,
        'the disk of the control log answers again after {waited_ms} ms',
    )
    key_refused = define(
        8101,
        Level.info,
        'a session on database {database} was refused: {reason}',
        'Nothing for single cases; if they repeat after a change of keys, '
        'check that the callers have the new ones.',
    )
    key_withdrawn = define(
        8102,
        Level.info,
        'a session of customer {customer} on database {database} ended: its '
        'key was taken away',
        extra=('phase', 'request_id'),
    )
    key_lease_lost = define(
        8103,
        Level.warning,
        'callers with keys are refused: no control leader has confirmed route '
        'table {version} in time',
        'Check the control hosts and the network between them and this host; '
        'the host admits keys again when the leader answers.',
    )
    key_lease_regained = define(
        8104,
        Level.info,
        'callers with keys are served again with route table {version}, after '
        '{lost_ms} ms',
    )
    control_stop_announced = define(
        8181,
        Level.info,
        'control host {node} announced that it stops',
    )
    control_tolerance_reduced = define(
        8182,
        Level.warning,
        'the control group bears the loss of {borne} hosts, {possible} would '
        'be possible; voters that do not answer: {missing}',
        'Start the missing host, or add another one; if it is gone for good, '
        'wait until it is removed.',
        extra=('voters', 'present'),
    )
    control_tolerance_regained = define(
        8183,
        Level.info,
        'the control group bears the loss of {borne} hosts again',
        extra=('voters', 'present'),
    )
    limit_reached = define(
        8121,
        Level.info,
        'customer {customer} has reached its limit of {rate_per_s} operations '
        'per second with a burst of {burst}: {refused} operations were refused '
        'since the last such line',
        'Raise the limit of the customer if its demand is to be served.',
    )
    limit_without_owner = define(
        8122,
        Level.warning,
        'no owner of the limit of customer {customer} answers: {refused} '
        'operations were refused since the last such line',
        'Inspect the control leader and the proxies; owners grant nothing '
        'while they have no contact to the leader.',
    )
    limit_taken_over = define(
        8123,
        Level.info,
        'this proxy grants operations of customer {customer} in slot {slot} '
        'after {predecessor}, at first {operations}',
    )
    limit_handed_over = define(
        8124,
        Level.info,
        'this proxy handed slot {slot} of customer {customer} with '
        '{operations} operations over to {successor}',
    )
    pace_reduced = define(
        8161,
        Level.info,
        'member {upstream} of service {service} is given {percent}% of its '
        'statements: {reason}',
        'Nothing for seconds; if it repeats for one member, inspect it.',
        extra=('error_percent',),
    )
    pace_restored = define(
        8162,
        Level.info,
        'member {upstream} of service {service} is given all its statements '
        'again after {reduced_ms} ms',
        extra=('reason',),
    )
    member_full = define(
        8141,
        Level.warning,
        'statements of priority {priority} for member {upstream} of service '
        '{service} find no room in time: {waiting} wait, the predicted wait '
        'is {wait_ms} ms',
        'Look at lavendergate_queue_seconds by priority; see '
        'docs/operations/overload.md.',
    )
    member_has_room = define(
        8142,
        Level.info,
        'member {upstream} of service {service} has room again; {refused} '
        'statements were refused',
    )
