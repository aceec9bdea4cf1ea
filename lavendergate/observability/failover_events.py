"""Events 4xxx: failover and switchover of groups."""

import enum

from lavendergate.observability.event_type import Event, Level, define


@enum.unique
class FailoverEvent(Event):
    """Events of the change of a group's primary.

    Values of the field `step` of `failover_progress` are the values of
    `ReportKind`.
    """

    primary_suspected = define(
        4001,
        Level.warning,
        'primary {upstream} of group {group} is suspected: {reason}',
        'Nothing; the failover runs automatically.',
        extra=('term', 'watchers'),
    )
    suspicion_withdrawn = define(
        4002,
        Level.info,
        'primary {upstream} of group {group} is no longer suspected',
        extra=('term', 'duration_ms', 'reason'),
    )
    probe_failed = define(
        4003,
        Level.info,
        'probe of member {upstream} of group {group} failed: {reason}',
        extra=('round', 'term'),
    )
    probe_succeeded = define(
        4004,
        Level.debug,
        'probe of member {upstream} of group {group} succeeded',
        extra=('duration_ms', 'round', 'term'),
    )
    term_begun = define(
        4010,
        Level.warning,
        'term {term} of group {group} has begun: {reason}',
        'Nothing; writes wait until a primary is confirmed.',
        extra=('previous_primary', 'index'),
    )
    member_fenced = define(
        4011,
        Level.info,
        'member {upstream} of group {group} promised term {term}',
        extra=('log_term', 'position', 'role'),
    )
    fence_failed = define(
        4012,
        Level.warning,
        'member {upstream} of group {group} was not fenced in term {term}: '
        '{reason}',
        'Nothing while a majority of the group answers.',
    )
    fence_done = define(
        4013,
        Level.info,
        '{fenced} members of group {group} promised term {term}',
        extra=('upstreams', 'duration_ms'),
    )
    candidate_chosen = define(
        4020,
        Level.info,
        'member {upstream} is the candidate of group {group} for term {term}',
        extra=('log_term', 'position', 'reason'),
    )
    primary_promoted = define(
        4021,
        Level.info,
        'member {upstream} of group {group} was promoted in term {term}',
        extra=('position', 'duration_ms'),
    )
    promotion_failed = define(
        4022,
        Level.error,
        'promotion of member {upstream} of group {group} in term {term} '
        'failed: {reason}',
        'Nothing at first, as a new term is begun; if it repeats, inspect the '
        'member.',
    )
    primary_confirmed = define(
        4023,
        Level.warning,
        'member {upstream} is the primary of group {group} in term {term}',
        'If no switchover was ordered, find out why the previous primary was '
        'replaced.',
        extra=('first_position', 'duration_ms', 'index'),
    )
    member_follows = define(
        4024,
        Level.info,
        'member {upstream} of group {group} follows the primary of term {term}',
        extra=('primary', 'truncated_entries'),
    )
    follow_failed = define(
        4025,
        Level.warning,
        'member {upstream} of group {group} does not follow the primary of '
        'term {term}: {reason}',
        'Inspect the member if this repeats for a minute.',
        extra=('primary',),
    )
    old_primary_demoted = define(
        4030,
        Level.warning,
        'previous primary {upstream} of group {group} is now a replica; '
        '{truncated_entries} unacknowledged entries were truncated',
        'If entries were truncated, their callers got the outcome "unknown"; '
        'search for events 1012 of the group.',
        extra=('term', 'log_term', 'position'),
    )
    promotion_damped = define(
        4031,
        Level.warning,
        'group {group} waits {wait_ms} ms before the next promotion',
        'Find out why primaries of the group fail one after another.',
        extra=('term', 'upstream'),
    )
    promotion_blocked = define(
        4032,
        Level.error,
        'group {group} has no primary: {reason}',
        'Restore members until a majority of the group answers.',
        extra=('term', 'reachable', 'needed'),
    )
    promotion_resumed = define(
        4033,
        Level.warning,
        'unfinished promotion of group {group} in term {term} is superseded',
        extra=('previous_term',),
    )
    failover_disabled = define(
        4034,
        Level.error,
        'primary {upstream} of group {group} failed, but failover is disabled',
        'Set failover.enabled to true or order a switchover.',
        extra=('term', 'reason'),
    )
    switchover_begun = define(
        4040,
        Level.info,
        'switchover of group {group} from {upstream} to {target} has begun',
        extra=('term', 'reason'),
    )
    switchover_done = define(
        4041,
        Level.info,
        'switchover of group {group} to {target} is done',
        extra=('term', 'duration_ms'),
    )
    switchover_failed = define(
        4042,
        Level.error,
        'switchover of group {group} to {target} failed: {reason}',
        'The group keeps a primary automatically; remove the reason and repeat '
        'the switchover.',
        extra=('term',),
    )
    failover_progress = define(
        4044,
        Level.info,
        'failover of group {group} reports "{step}": {message}',
    )
    primary_adopted = define(
        4050,
        Level.info,
        'this proxy uses primary {upstream} of group {group} in term {term}',
        extra=('previous_term',),
    )
    primary_dropped = define(
        4051,
        Level.info,
        'this proxy uses no primary of group {group}: term {term} has no '
        'confirmed primary',
    )
