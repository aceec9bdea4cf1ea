"""Counters and latency histograms in the text form of Prometheus."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

# Bounds in seconds; they hold the target latencies and the time limits of
# today's routes, and are equal on all hosts, so that histograms add up.
_BOUNDS_S = (0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0)


class SessionMetrics:
    """Metrics of a host that serves sessions or steers them."""

    def __init__(self) -> None:
        registry = CollectorRegistry()
        self._registry = registry
        self.statements = Counter(
            'lavendergate_statements',
            'Answered statements; how do callers fare?',
            ('database', 'outcome'),
            registry=registry,
        )
        self.statement_seconds = Histogram(
            'lavendergate_statement_seconds',
            'Arrival to answer; which route is slow?',
            ('database',),
            buckets=_BOUNDS_S,
            registry=registry,
        )
        self.member_seconds = Histogram(
            'lavendergate_member_seconds',
            'Time of a statement at a member; which member is slow?',
            ('member',),
            buckets=_BOUNDS_S,
            registry=registry,
        )
        self.connection_seconds = Histogram(
            'lavendergate_connection_seconds',
            'Wait for a connection; which limit is too low?',
            ('member',),
            buckets=_BOUNDS_S,
            registry=registry,
        )
        self.member_failures = Counter(
            'lavendergate_member_failures',
            'Answers and connections that were not had; who is down?',
            ('member',),
            registry=registry,
        )
        self.sessions = Gauge(
            'lavendergate_sessions',
            'Open sessions; is the load spread evenly?',
            registry=registry,
        )
        self.routes_version = Gauge(
            'lavendergate_routes_version',
            'Route table in force; which host is behind?',
            registry=registry,
        )
        self.is_leader = Gauge(
            'lavendergate_control_leader',
            '1 on the leader of control; who decides?',
            registry=registry,
        )
        self.orders = Counter(
            'lavendergate_promotion_orders',
            'Orders to promote a member; how do they end?',
            ('service', 'outcome'),
            registry=registry,
        )

    def text(self) -> bytes:
        """Return all metrics in text form."""
        return generate_latest(self._registry)
