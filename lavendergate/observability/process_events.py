"""Events 7xxx: start and stop of processes."""

import enum

from lavendergate.observability.event_type import Event, Level, define


@enum.unique
class ProcessEvent(Event):
    """Events of the life cycle of a process."""

    process_started = define(
        7001,
        Level.info,
        'lavendergated {software_version} started with roles {roles}',
        extra=('address', 'incarnation', 'region', 'failure_domain', 'pid'),
    )
    process_serving = define(
        7002,
        Level.info,
        'role {role} serves on {address}',
        extra=('duration_ms',),
    )
    process_waiting = define(
        7003,
        Level.info,
        'role {role} is waiting: {reason}',
        'For a new cluster: run "lavendergatectl cluster init".',
    )
    start_failed = define(
        7004,
        Level.error,
        'the process could not start: {reason}',
        'Correct the option that the reason names.',
    )
    drain_begun = define(
        7010,
        Level.info,
        'drain begun with {connections} caller connections',
        extra=('limit_s', 'in_flight', 'signal'),
    )
    drain_done = define(
        7011,
        Level.info,
        'drain done after {duration_ms} ms, no statement was aborted',
    )
    drain_cut = define(
        7012,
        Level.warning,
        'drain ended after {duration_ms} ms, {cut} statements were aborted',
        'Raise --drain-limit-s if statements of this duration are expected.',
        extra=('reason', 'callers'),
    )
    process_stopped = define(
        7020,
        Level.info,
        'the process stopped',
        extra=('reason', 'duration_ms'),
    )
    process_stalled = define(
        7030,
        Level.warning,
        'the process did not run for {stalled_ms} ms',
        'Look for load on the host or a paused virtual machine.',
    )
    task_failed = define(
        7031,
        Level.error,
        '{task} failed: {reason}',
        'Report the lines around this event to the developers.',
        extra=('traceback', 'suppressed'),
    )
    events_dropped = define(
        7032,
        Level.error,
        '{dropped} events were dropped: {reason}',
        'If the reason is an error of the operating system, check the disk of '
        'the data directory or the reader of standard output.',
    )
    odd_values_dropped = define(
        7045,
        Level.warning,
        '{dropped} odd values were dropped from {place}: {reason}',
        'A host of an earlier build holds them. They name no member; upgrade '
        'that host.',
    )
    credentials_missing = define(
        7033,
        Level.error,
        'account {account} is not configured',
        'Set the environment variable that the page of options names.',
    )
    connections_refused = define(
        7040,
        Level.warning,
        '{refused} connections of kind {kind} were refused: {open} are open, '
        'the limit is {limit}',
        'Spread the callers over more hosts, or raise the descriptors and the '
        'memory of the process.',
    )
    connections_limited = define(
        7041,
        Level.info,
        'connection limits: {callers} callers, {peers} hosts, {members} '
        'members, {operations} operations',
    )
    process_failed = define(
        7057,
        Level.error,
        'the process ends with status {status}: {reason}',
        'Report this line to the developers.',
        extra=('place', 'traceback'),
    )
    previous_stop = define(
        7058,
        Level.info,
        'the previous process of this host was stopped at {ended_at}: {reason}',
    )
    previous_failure = define(
        7059,
        Level.warning,
        'the previous process of this host ended by itself at {ended_at} with '
        'status {status}: {reason}',
        'Report this line to the developers.',
        extra=('place',),
    )
    previous_end_unknown = define(
        7060,
        Level.warning,
        'the previous process of this host left no record of its end: {reason}',
        'Look for a kill, a loss of power, or a process over its memory limit.',
    )
    library_warning = define(
        7061,
        Level.warning,
        '{library} reported: {reason}',
        'Nothing, unless statements fail at the same time.',
        extra=('suppressed',),
    )
    settings_late = define(
        7050,
        Level.warning,
        'the settings file was read again for {duration_ms} ms: {reason}',
        'Replace the settings file by renaming a complete one into its place.',
    )
    address_taken = define(
        7051,
        Level.warning,
        'cannot listen on {address} yet: {reason}',
        'End the process that holds the port; the host tries again.',
    )
    address_free = define(
        7052,
        Level.info,
        'listens on {address} after {duration_ms} ms',
    )
    start_refused = define(
        7053,
        Level.error,
        'the process ends with status {status}: {reason}',
        'Follow the reason; docs/operations/exit-codes.md lists the statuses.',
    )
    disk_refused = define(
        7054,
        Level.error,
        'the disk of the control log refuses: {reason}',
        'Check the disk of the data directory; until it takes writes the host '
        'neither votes nor leads, and it tries again.',
    )
