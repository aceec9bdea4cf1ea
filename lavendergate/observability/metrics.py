"""Metrics sent over the statsd protocol."""

import abc
import enum
from dataclasses import dataclass

from statsd import StatsClient

_PREFIX = 'lavendergate'


@enum.unique
class MetricKind(enum.Enum):
    """Kind of a metric in the statsd protocol."""

    counter = 'counter'
    gauge = 'gauge'
    timer = 'timer'


@dataclass(frozen=True, kw_only=True, slots=True)
class MetricType:
    """Definition of a metric.

    Parameters
    ----------
    name
        Name without prefix and host.
    kind
        Kind in the statsd protocol.
    unit
        Unit of the values; ``1`` for a count.
    label
        Dimension whose value is the last part of the name: group, member or
        class. Empty if the metric has none.
    description
        What the metric measures, for the page of metrics.
    """

    name: str
    kind: MetricKind
    unit: str
    label: str
    description: str


def _define(
    name: str, kind: MetricKind, unit: str, description: str, label: str = ''
) -> MetricType:
    return MetricType(
        name=name, kind=kind, unit=unit, label=label, description=description
    )


_COUNTER = MetricKind.counter
_GAUGE = MetricKind.gauge
_TIMER = MetricKind.timer


@enum.unique
class Metric(enum.Enum):
    """All metrics that processes send over statsd."""

    statements_done = _define(
        'statements.done', _COUNTER, '1', 'statements answered', 'group'
    )
    statements_not_run = _define(
        'statements.not_run', _COUNTER, '1', 'outcome `not run`', 'group'
    )
    statements_unknown = _define(
        'statements.unknown', _COUNTER, '1', 'outcome `unknown`', 'group'
    )
    statements_shed = _define(
        'statements.shed', _COUNTER, '1', 'shed statements', 'class'
    )
    statements_retried = _define(
        'statements.retried', _COUNTER, '1', 'retried statements', 'group'
    )
    statement_time = _define(
        'statement.time', _TIMER, 'ms', 'arrival to answer', 'class'
    )
    queue_time = _define(
        'queue.time', _TIMER, 'ms', 'wait in the queue', 'group'
    )
    queue_length = _define(
        'queue.length', _GAUGE, '1', 'waiting statements', 'group'
    )
    reads_replica = _define(
        'reads.replica', _COUNTER, '1', 'reads served by replicas', 'group'
    )
    reads_primary = _define(
        'reads.primary', _COUNTER, '1', 'reads served by primaries', 'group'
    )
    confirm_time = _define(
        'confirm.time', _TIMER, 'ms', 'commit to confirmation', 'group'
    )
    callers_connected = _define(
        'callers.connected', _GAUGE, '1', 'open caller connections'
    )
    connections_open = _define(
        'connections.open',
        _GAUGE,
        '1',
        'open connections to a member',
        'member',
    )
    connections_share = _define(
        'connections.share',
        _GAUGE,
        '1',
        'connections allowed by the share of the proxy',
        'member',
    )
    connections_opened = _define(
        'connections.opened', _COUNTER, '1', 'connections opened', 'member'
    )
    connections_retired = _define(
        'connections.retired', _COUNTER, '1', 'connections retired', 'member'
    )
    replica_age = _define(
        'replica.age',
        _GAUGE,
        'ms',
        'age of the state that a member has applied',
        'member',
    )
    members_announced = _define(
        'members.announced', _GAUGE, '1', 'members with current announcements'
    )
    proxies_live = _define(
        'proxies.live', _GAUGE, '1', 'proxies with current heartbeats'
    )
    promotions = _define(
        'failover.promotions', _COUNTER, '1', 'confirmed primaries', 'group'
    )
    failover_gap = _define(
        'failover.gap', _TIMER, 'ms', 'time without a primary', 'group'
    )
    settings_version = _define(
        'settings.version', _GAUGE, '1', 'settings version in force'
    )
    settings_age = _define(
        'settings.age',
        _GAUGE,
        's',
        'time since control last confirmed the settings',
    )
    consensus_leader = _define(
        'consensus.leader', _GAUGE, '1', '1 on the leader, 0 elsewhere'
    )
    consensus_commit_index = _define(
        'consensus.commit_index',
        _GAUGE,
        '1',
        'index of the last committed entry',
    )
    consensus_commit_time = _define(
        'consensus.commit_time', _TIMER, 'ms', 'proposal to commit'
    )
    sync_time = _define(
        'storage.sync_time', _TIMER, 'ms', 'sync of the log to disk'
    )

    @property
    def type(self) -> MetricType:
        """Definition of the metric."""
        metric_type: MetricType = self.value
        return metric_type


class Metrics(abc.ABC):
    """Receives the metrics of one process; never blocks or raises."""

    @abc.abstractmethod
    def send(self, metric: Metric, value: float = 1, label: str = '') -> None:
        """Send a value: an increment, a gauge or a time, by the kind.

        Parameters
        ----------
        metric
            Metric to update.
        value
            Value in the unit of the metric.
        label
            Value of the dimension, for metrics that have one.
        """


class NoMetrics(Metrics):
    """Discards all metrics; used if no statsd address is configured."""

    def send(self, metric: Metric, value: float = 1, label: str = '') -> None:
        """Discard the value."""


class StatsdMetrics(Metrics):
    """Sends metrics as UDP datagrams.

    A datagram that cannot be sent immediately is dropped, because metrics
    must not delay statements. For the same reason the server is given as an
    IP address: resolving a host name blocks.

    Parameters
    ----------
    ip, port
        Address of the statsd server.
    host
        Host id, which becomes part of each name.
    """

    def __init__(self, *, ip: str, port: int, host: str) -> None:
        self._client = StatsClient(
            host=ip,
            port=port,
            prefix=f'{_PREFIX}.{_sanitise(host)}',
            ipv6=':' in ip,
        )
        self._client._sock.setblocking(False)  # noqa: WPS437

    def send(self, metric: Metric, value: float = 1, label: str = '') -> None:
        """Send a value, or drop it if it cannot be sent immediately."""
        name = metric.type.name
        if metric.type.label:
            name = f'{name}.{_sanitise(label)}'
        try:
            self._send(metric.type.kind, name, value)
        except Exception:  # noqa: B902
            # A failure to send a metric must not fail a statement.
            return

    def _send(self, kind: MetricKind, name: str, value: float) -> None:
        match kind:
            case MetricKind.counter:
                self._client.incr(name, value)
            case MetricKind.gauge:
                self._client.gauge(name, value)
            case MetricKind.timer:
                self._client.timing(name, value)


def _sanitise(part: str) -> str:
    """Replace all but ASCII letters and digits; others may be separators."""
    sanitised = (
        character if character.isascii() and character.isalnum() else '_'
        for character in part
    )
    return ''.join(sanitised) or 'none'
