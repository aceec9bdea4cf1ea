"""Events 5xxx: the replicated log of the control hosts."""

import enum

from lavendergate.observability.event_type import Event, Level, define


@enum.unique
class ConsensusEvent(Event):
    """Events of election, replication and storage of the replicated log."""

    election_started = define(
        5001,
        Level.info,
        'election in consensus term {consensus_term} has started',
        extra=('pre_vote', 'last_index'),
    )
    leader_elected = define(
        5002,
        Level.warning,
        'this host became leader in consensus term {consensus_term}',
        'Nothing; inspect the previous leader if no restart was planned.',
        extra=('last_index', 'votes'),
    )
    leader_stepped_down = define(
        5003,
        Level.warning,
        'this host is no longer leader in consensus term {consensus_term}: '
        '{reason}',
        'Look for a partition if no other host becomes leader.',
    )
    leader_changed = define(
        5004,
        Level.info,
        'host {leader} is leader in consensus term {consensus_term}',
    )
    quorum_lost = define(
        5005,
        Level.error,
        'no majority of the control hosts is reachable: {reason}',
        'Start the missing control hosts; until then, failover and changes of '
        'settings are impossible.',
        extra=('reachable', 'needed'),
    )
    quorum_regained = define(
        5006,
        Level.info,
        'a majority of the control hosts is reachable again',
        extra=('duration_ms',),
    )
    command_refused = define(
        5007,
        Level.info,
        'command {command} was refused: {reason}',
        extra=('index', 'group'),
    )
    snapshot_written = define(
        5010,
        Level.info,
        'snapshot up to index {index} written, {size_bytes} bytes',
        extra=('duration_ms', 'removed_entries'),
    )
    snapshot_sent = define(
        5011,
        Level.info,
        'snapshot up to index {index} sent to host {peer}',
        extra=('size_bytes', 'duration_ms'),
    )
    snapshot_installed = define(
        5012,
        Level.info,
        'snapshot up to index {index} installed',
        extra=('size_bytes', 'leader'),
    )
    log_recovered = define(
        5020,
        Level.info,
        'log recovered from disk up to index {index}',
        extra=('snapshot_index', 'consensus_term', 'duration_ms'),
    )
    torn_tail_cut = define(
        5021,
        Level.warning,
        'an incomplete record of {size_bytes} bytes was truncated from {file}',
        'Nothing; the record was never acknowledged.',
        extra=('index',),
    )
    log_damaged = define(
        5022,
        Level.error,
        'file {file} is damaged at byte {offset}; the host does not start',
        'Replace the host with "lavendergatectl cluster replace" and an '
        'empty data directory; check the disk.',
        extra=('reason',),
    )
    storage_failed = define(
        5023,
        Level.error,
        'writing to the data directory failed: {reason}',
        'Check the free space and health of the disk, then restart the '
        'process.',
        extra=('file',),
    )
    sync_slow = define(
        5024,
        Level.warning,
        'sync of the log to disk took {duration_ms} ms',
        'Look for other load on the disk.',
        extra=('file',),
    )
    identity_created = define(
        5030,
        Level.info,
        'the data directory is empty; created incarnation {incarnation}',
        'For a replaced host: run "lavendergatectl cluster replace".',
    )
    cluster_initialised = define(
        5031,
        Level.info,
        'the replicated log was initialised with voters {voters}',
    )
    voters_changed = define(
        5032,
        Level.info,
        'voters are {voters}, learners are {learners}',
        extra=('index',),
    )
    learner_caught_up = define(
        5033,
        Level.info,
        'learner {peer} has caught up to index {index}',
    )
    identity_refused = define(
        5034,
        Level.error,
        'host {peer} was refused: {reason}',
        'Let a host that lost its disk rejoin with "lavendergatectl cluster '
        'replace".',
        extra=('incarnation',),
    )
