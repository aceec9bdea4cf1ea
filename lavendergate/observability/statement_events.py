"""Events 1xxx: callers and the statement path of a proxy."""

import enum

from lavendergate.observability.event_type import Event, Level, define

_REQUEST_FIELDS = ('caller', 'request_id', 'session', 'upstream', 'term')


@enum.unique
class StatementEvent(Event):
    """Events of callers' connections and their statements."""

    caller_connected = define(
        1001,
        Level.debug,
        'caller {caller} connected from {address} as connection {connection}',
        extra=('session',),
    )
    caller_disconnected = define(
        1002,
        Level.debug,
        'caller {caller} disconnected, connection {connection}',
        extra=('reason', 'session'),
    )
    callers_connected = define(
        1003,
        Level.info,
        '{connections} caller connections are open',
        'Nothing; compare the counts of the proxies if the load is uneven.',
        extra=('callers',),
    )
    caller_refused = define(
        1004,
        Level.warning,
        'caller {caller} from {address} was refused: {reason}',
        'Check the name and the hash in LAVENDERGATE_CALLERS.',
    )
    statement_done = define(
        1010,
        Level.debug,
        'statement on group {group} done in {duration_ms} ms',
        extra=(*_REQUEST_FIELDS, 'position', 'kind'),
    )
    statement_not_run = define(
        1011,
        Level.info,
        'statement on group {group} did not run: {reason}',
        'Nothing for single cases; the caller may send it again.',
        extra=_REQUEST_FIELDS,
    )
    statement_unknown = define(
        1012,
        Level.warning,
        'outcome of a statement on group {group} is unknown: {reason}',
        'Look for a failover of the group at this time in the timeline; the '
        'caller can query @@lavendergate_outcome with its request id.',
        extra=(*_REQUEST_FIELDS, 'position'),
    )
    statement_retried = define(
        1013,
        Level.info,
        'statement on group {group} is retried, attempt {attempt}: {reason}',
        extra=(*_REQUEST_FIELDS, 'delay_ms'),
    )
    statement_shed = define(
        1014,
        Level.debug,
        'statement of class {admission_class} on group {group} was shed',
        extra=(*_REQUEST_FIELDS, 'queued'),
    )
    shedding_begun = define(
        1015,
        Level.warning,
        'group {group} sheds statements of class {admission_class}, '
        '{queued} are queued',
        'Look for a slow or missing member of the group; spread reads over '
        'replicas with read.max_age_ms or lower caller.concurrency of the '
        'busiest caller.',
    )
    shedding_ended = define(
        1016,
        Level.info,
        'group {group} sheds no more statements, {shed} were shed',
    )
    retry_budget_exhausted = define(
        1017,
        Level.warning,
        'retry budget of caller {caller} on group {group} is exhausted',
        'Find out why statements fail; raising retry.budget_percent adds load.',
    )
    transaction_lost = define(
        1018,
        Level.warning,
        'transaction on group {group} ended without a result: {reason}',
        'The caller repeats the transaction; inspect the member that the '
        'fields name.',
        extra=('caller', 'request_id', 'session', 'term'),
    )
    token_refused = define(
        1019,
        Level.warning,
        'token of caller {caller} was refused: {reason}',
        'Check that token.accepted_keys holds the previous signing key.',
        extra=('session', 'request_id'),
    )
    hint_refused = define(
        1020,
        Level.info,
        'hint of caller {caller} was refused: {reason}',
        'Tell the owner of the client application.',
        extra=('session', 'request_id'),
    )
    request_repeated = define(
        1021,
        Level.info,
        'request {request_id} on group {group} was answered from its stored '
        'record',
        extra=('caller', 'session'),
    )
    request_id_reused = define(
        1022,
        Level.warning,
        'request id {request_id} on group {group} was reused for another '
        'statement',
        'Tell the owner of the client application: request ids are not unique.',
        extra=('caller', 'session'),
    )
    request_records_removed = define(
        1023,
        Level.debug,
        '{removed} request records of group {group} were removed',
    )
    stale_read_refused = define(
        1024,
        Level.info,
        'no member of group {group} is within the staleness bound of '
        '{max_age_ms} ms',
        'Look at the replica lag of the group.',
        extra=_REQUEST_FIELDS,
    )
    primary_wait_begun = define(
        1025,
        Level.warning,
        'statements on group {group} wait for a confirmed primary',
        'Nothing while a failover runs; after 10 s, check the events 4xxx.',
        extra=('term',),
    )
    primary_wait_ended = define(
        1026,
        Level.info,
        'statements on group {group} proceed after {waited_ms} ms',
        extra=('term', 'upstream', 'waiting'),
    )
    statement_refused = define(
        1027,
        Level.info,
        'statement of caller {caller} is not supported: {reason}',
        'Tell the owner of the client application; see docs/callers.md.',
        extra=('group', 'session', 'request_id'),
    )
    statement_failed = define(
        1099,
        Level.error,
        'unexpected error on the statement path: {reason}',
        'Report the lines around this event to the developers.',
        extra=('group', *_REQUEST_FIELDS, 'traceback'),
    )
