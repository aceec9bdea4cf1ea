"""Metrics of processes on the hosting platform, in the Prometheus format."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

# Bucket bounds in seconds. They include the target latencies and the time
# limits of the present routes, and are the same on all hosts so that
# histograms can be aggregated.
_BUCKET_BOUNDS_S = (0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0)

_BY_MEMBER = ('member',)


class HttpMetrics:
    """Metrics that a proxy or control host serves over HTTP."""

    def __init__(self) -> None:
        registry = CollectorRegistry()
        self._registry = registry
        self.statements = Counter(
            'lavendergate_statements',
            'Answered statements by outcome; shows how many are refused',
            ('database', 'outcome'),
            registry=registry,
        )
        self.statement_seconds = Histogram(
            'lavendergate_statement_seconds',
            'Time from arrival to answer of a statement; shows slow routes',
            ('database',),
            buckets=_BUCKET_BOUNDS_S,
            registry=registry,
        )
        self.member_seconds = Histogram(
            'lavendergate_member_seconds',
            'Response time of a member to a statement; shows slow members',
            _BY_MEMBER,
            buckets=_BUCKET_BOUNDS_S,
            registry=registry,
        )
        self.connection_seconds = Histogram(
            'lavendergate_connection_seconds',
            'Wait for a connection to a member; shows limits that are too low',
            _BY_MEMBER,
            buckets=_BUCKET_BOUNDS_S,
            registry=registry,
        )
        self.queue_seconds = Histogram(
            'lavendergate_queue_seconds',
            'Wait for a turn at a member; shows classes without room',
            ('priority', 'outcome'),
            buckets=_BUCKET_BOUNDS_S,
            registry=registry,
        )
        self.member_failures = Counter(
            'lavendergate_member_failures',
            'Missing answers and failed connections; shows unavailable members',
            _BY_MEMBER,
            registry=registry,
        )
        self.opened_connections = Counter(
            'lavendergate_opened_connections',
            'Opened sessions to members; shows how rarely they are reused',
            _BY_MEMBER,
            registry=registry,
        )
        self.member_pace = Gauge(
            'lavendergate_member_pace',
            'Fraction of its slots that a member is given after it started, '
            'recovered or failed; 1 or absent is normal',
            _BY_MEMBER,
            registry=registry,
        )
        self.sessions = Gauge(
            'lavendergate_sessions',
            'Open sessions; shows whether the load is spread evenly',
            registry=registry,
        )
        self.routes_version = Gauge(
            'lavendergate_routes_version',
            'Version of the route table in force; shows hosts that lag behind',
            registry=registry,
        )
        self.is_leader = Gauge(
            'lavendergate_control_leader',
            '1 on the leader of the control hosts, 0 on the others',
            registry=registry,
        )
        self.log_storage_wait = Gauge(
            'lavendergate_log_storage_wait_seconds',
            'Time that a write to the control log has taken; shows stuck disks',
            registry=registry,
        )
        self.control_voters = Gauge(
            'lavendergate_control_voters',
            'Voters of the control group, on the leader; 0 on the others',
            registry=registry,
        )
        self.control_present = Gauge(
            'lavendergate_control_present_hosts',
            'Control hosts that answer the leader, with it; 0 on the others',
            registry=registry,
        )
        self.control_losses_borne = Gauge(
            'lavendergate_control_losses_borne',
            'Losses of hosts that the control group bears; 0 unless leader',
            registry=registry,
        )
        self.promotion_orders = Counter(
            'lavendergate_promotion_orders',
            'Orders to promote a member by outcome; shows failed promotions',
            ('service', 'outcome'),
            registry=registry,
        )
        self.write_proofs = Counter(
            'lavendergate_write_proofs',
            'Completed writes by what proved that they survive a promotion; '
            '"none" and "impossible" were answered UNKNOWN',
            ('proof',),
            registry=registry,
        )
        self.held_writes = Counter(
            'lavendergate_held_writes',
            'Writes that waited for the replicas of a new primary, by how the '
            'wait ended; "deadline" was answered BUSY',
            ('end',),
            registry=registry,
        )
        self.customer_operations = Counter(
            'lavendergate_customer_operations',
            'Operations of the largest customers by outcome; shows who is '
            'refused at a limit',
            ('customer', 'outcome'),
            registry=registry,
        )

        self.contained_errors = Counter(
            'lavendergate_contained_errors',
            'Unexpected errors by place; each ended one connection, request '
            'or task, and the process went on',
            ('place',),
            registry=registry,
        )
        self._start_time = Gauge(
            'lavendergate_process_start_time_seconds',
            'Unix time at which the process started; a change is a restart',
            registry=registry,
        )
        self._previous_end = Gauge(
            'lavendergate_previous_end',
            '1 for the way in which the process before this one ended',
            ('outcome',),
            registry=registry,
        )
        self.connections = Gauge(
            'lavendergate_connections',
            'Open connections by kind; shows which kind uses the descriptors',
            ('kind',),
            registry=registry,
        )
        self.refused_connections = Counter(
            'lavendergate_refused_connections',
            'Connections refused at the limit of their kind',
            ('kind',),
            registry=registry,
        )

    def show_start(self, started_at: float, previous_end: str) -> None:
        """Show when the process started and how the one before it ended.

        Parameters
        ----------
        started_at
            Unix time, in seconds.
        previous_end
            Outcome of the former process; empty if nothing is known.
        """
        self._start_time.set(started_at)
        if previous_end:
            self._previous_end.labels(previous_end).set(1)

    def count_contained_error(self, place: str) -> None:
        """Count an unexpected error that ended one activity."""
        self.contained_errors.labels(place).inc()

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)
