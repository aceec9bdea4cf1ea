"""Schema of the settings: type, unit, range, default and scope per key."""

from collections.abc import Mapping

from lavendergate.core.settings.paths import NodeLevel
from lavendergate.core.settings.spec import Kind, SettingSpec


def _keyed_spec(spec: SettingSpec) -> tuple[str, SettingSpec]:
    return spec.key, spec


SCHEMA: Mapping[str, SettingSpec] = dict(
    map(
        _keyed_spec,
        (
            SettingSpec(
                key='statement.deadline_ms',
                kind=Kind.integer,
                unit='ms',
                minimum=10,
                maximum=600_000,
                default=2000,
                scope=NodeLevel.caller,
                description='Deadline of a statement without the hint '
                'deadline_ms, from its arrival to its answer.',
            ),
            SettingSpec(
                key='read.max_age_ms',
                kind=Kind.integer,
                unit='ms',
                minimum=0,
                maximum=86_400_000,
                default=0,
                scope=NodeLevel.caller,
                is_risky=True,
                description='Maximum age of data returned by reads without the '
                'hint max_age_ms; 0 means session consistency.',
            ),
            SettingSpec(
                key='read.replica_wait_ms',
                kind=Kind.integer,
                unit='ms',
                minimum=0,
                maximum=1000,
                default=5,
                scope=NodeLevel.caller,
                description='Maximum time that a read waits for a replica to '
                "reach the session's position before the primary is used.",
            ),
            SettingSpec(
                key='queue.limit',
                kind=Kind.integer,
                unit='statements',
                minimum=1,
                maximum=65_536,
                default=256,
                scope=NodeLevel.group,
                description='Maximum number of statements queued in one proxy '
                'for a group. A further one is refused, or takes the place of '
                'a queued one of a lower class, which is refused instead.',
            ),
            SettingSpec(
                key='queue.class',
                kind=Kind.choice,
                choices=('stale', 'session', 'write', 'billing'),
                default=None,
                scope=NodeLevel.caller,
                description='Admission class of all statements of a caller. '
                'Statements of a higher class start first and are refused '
                'last; from lowest to highest: stale, session, write, billing. '
                'If unset, the class is derived from the statement: stale for '
                'reads with a maximum age, session for other reads, write for '
                'all other statements.',
            ),
            SettingSpec(
                key='caller.concurrency',
                kind=Kind.integer,
                unit='statements',
                minimum=1,
                maximum=10_000,
                default=64,
                scope=NodeLevel.caller,
                description='Maximum number of statements that one proxy runs '
                'concurrently for a caller in a group.',
            ),
            SettingSpec(
                key='retry.budget_percent',
                kind=Kind.integer,
                unit='%',
                minimum=0,
                maximum=50,
                default=10,
                scope=NodeLevel.caller,
                description='Maximum retries as a percentage of the requests '
                'of a caller in a group; at least 1 per second is allowed.',
            ),
            SettingSpec(
                key='group.members',
                kind=Kind.integer,
                unit='members',
                minimum=1,
                maximum=9,
                default=3,
                scope=NodeLevel.group,
                is_risky=True,
                description='Number of members up to which announced upstreams '
                'are registered automatically; later ones are spares.',
            ),
            SettingSpec(
                key='failover.enabled',
                kind=Kind.boolean,
                default=True,
                scope=NodeLevel.group,
                is_risky=True,
                description='Whether a failed primary is replaced '
                'automatically, without a command by an operator.',
            ),
            SettingSpec(
                key='failover.announcement_timeout_ms',
                kind=Kind.integer,
                unit='ms',
                minimum=500,
                maximum=2000,
                default=600,
                scope=NodeLevel.group,
                is_risky=True,
                description='Time without an announcement of a primary after '
                'which watchers probe it continuously. An announcement is sent '
                'every 250 ms and expires after 2,000 ms.',
            ),
            SettingSpec(
                key='failover.min_interval_s',
                kind=Kind.integer,
                unit='s',
                minimum=0,
                maximum=3600,
                default=10,
                scope=NodeLevel.group,
                is_risky=True,
                description='Minimum time between two automatic promotions '
                'of a group, unless all watchers report that the primary '
                'failed.',
            ),
            SettingSpec(
                key='request.retention_s',
                kind=Kind.integer,
                unit='s',
                minimum=60,
                maximum=2_592_000,
                default=86_400,
                scope=NodeLevel.group,
                is_risky=True,
                description='Time for which the record of a request id is '
                'kept; after that time, a request with the same id runs again.',
            ),
            SettingSpec(
                key='token.signing_key',
                kind=Kind.token_key,
                default=None,
                scope=NodeLevel.root,
                is_risky=True,
                is_secret=True,
                description='Key that signs new session tokens.',
            ),
            SettingSpec(
                key='token.accepted_keys',
                kind=Kind.token_keys,
                default=(),
                scope=NodeLevel.root,
                is_risky=True,
                is_secret=True,
                description='Former and future signing keys whose tokens are '
                'accepted in addition to those of the signing key.',
            ),
            SettingSpec(
                key='ejection.factor',
                kind=Kind.number,
                unit='times the usual latency',
                minimum=1.5,
                maximum=100,
                default=4.0,
                scope=NodeLevel.group,
                description='Latency of a member from which reads avoid it, '
                'as a multiple of the usual (median) latency of the other '
                'members of its group.',
            ),
            SettingSpec(
                key='connection.idle_s',
                kind=Kind.integer,
                unit='s',
                minimum=1,
                maximum=3600,
                default=30,
                scope=NodeLevel.group,
                description='Time after which an unused connection to a '
                'member is closed.',
            ),
        ),
    )
)
