"""The proxy role: forwards callers' statements to members."""

import random
from functools import partial

import anyio
from anyio.abc import TaskGroup
from result import Ok, Result

from lavendergate.backends.admin import PROGRAM_NAME_PREFIX
from lavendergate.backends.mysql import MySqlBackend
from lavendergate.controllers.admission import (
    UNBOUNDED,
    GroupAdmission,
    GroupCapacity,
)
from lavendergate.controllers.announcement_relay import AnnouncementRelay
from lavendergate.controllers.confirmation import GroupConfirmer
from lavendergate.controllers.connections import ConnectionPools
from lavendergate.controllers.directory import Directory
from lavendergate.controllers.heartbeat import Heartbeats, ProxyIdentity
from lavendergate.controllers.loads import MemberLoads
from lavendergate.controllers.primary import PrimaryConnector
from lavendergate.controllers.probes import Prober
from lavendergate.controllers.proxy_shares import ProxyShares
from lavendergate.controllers.read_index import GroupReadIndex
from lavendergate.controllers.retry_budgets import RetryBudgets
from lavendergate.controllers.token_keys import TokenKeyring
from lavendergate.core.errors import StatementError
from lavendergate.core.settings.in_force import InForceSettings
from lavendergate.core.settings.resolution import EffectiveSettings
from lavendergate.core.tokens import SessionToken, sign_token, verify_token
from lavendergate.core.types import (
    FailureDomain,
    GroupId,
    HostId,
    Region,
    UpstreamId,
)
from lavendergate.daemon.context import ProcessContext
from lavendergate.filters.admit import AdmitFilter
from lavendergate.filters.at_most_once import AtMostOnce, AtMostOnceFilter
from lavendergate.filters.base import Filter, Forward, SessionState, build_chain
from lavendergate.filters.classify import ClassifyFilter
from lavendergate.filters.confirm import ConfirmFilter
from lavendergate.filters.execute import ExecuteFilter
from lavendergate.filters.hints import HintsFilter
from lavendergate.filters.local import LocalFilter
from lavendergate.filters.observe import ObserveFilter
from lavendergate.filters.outcome import OutcomeReader
from lavendergate.filters.route import RouteFilter
from lavendergate.filters.transaction import TransactionFilter
from lavendergate.frontend.server import CallerAccounts, CallerListener
from lavendergate.frontend.session import MysqlSession
from lavendergate.observability.metrics import Metric
from lavendergate.supervision.boundary import GuardedTasks

MAINTENANCE_INTERVAL_S = 0.25
SHARE_RETURN_TIMEOUT_S = 3.0


class ProxyRole:
    """Serves callers of the MySQL protocol.

    Parameters
    ----------
    context
        Options and observability of the process.
    tasks
        Task group of the role.
    """

    def __init__(self, *, context: ProcessContext, tasks: TaskGroup) -> None:
        options = context.options
        self._context = context
        self._tasks = tasks
        self._guarded = GuardedTasks(tasks=tasks, boundary=context.boundary)
        self._is_reported_not_ready = False
        self._refuses_statements = False
        self._backend = MySqlBackend(
            user=options.upstream_user,
            password=options.upstream_password,
            program_name=f'{PROGRAM_NAME_PREFIX}{options.host_id}',
        )
        self._directory = Directory()
        self._pools = ConnectionPools(
            backend=self._backend, tasks=self._guarded
        )
        self._loads = MemberLoads()
        self._settings = InForceSettings(now=anyio.current_time())
        self._shares = ProxyShares(pools=self._pools)
        self._relay = AnnouncementRelay(hosts=options.control)
        self._confirmers: dict[GroupId, GroupConfirmer] = {}
        self._admissions: dict[GroupId, GroupAdmission] = {}
        self._read_indexes: dict[GroupId, GroupReadIndex] = {}
        self._keyring = TokenKeyring(
            fallback_secret=options.announce_key.encode()
        )
        self._heartbeats = self._build_heartbeats()
        self._chain = self._build_chain()
        self._listener = CallerListener(
            session_factory=self._make_session,
            accounts=CallerAccounts(auth_strings=options.callers),
            tls=context.caller_tls.server if context.caller_tls else None,
        )

    @property
    def relay(self) -> AnnouncementRelay:
        """Relay of members' announcements to the control hosts."""
        return self._relay

    @property
    def listener(self) -> CallerListener:
        """Listener for callers."""
        return self._listener

    @property
    def is_ready(self) -> bool:
        """Whether groups are known and no shutdown has begun."""
        return bool(self._directory.groups) and not self._is_reported_not_ready

    async def start(self) -> None:
        """Start the heartbeats, maintenance and the listener for callers."""
        listen = self._context.options.listen
        if listen is None:
            raise RuntimeError('the proxy role requires --listen')
        for name, run in (
            ('heartbeats', self._heartbeats.run),
            ('maintenance', self._maintain),
        ):
            self._tasks.start_soon(
                self._context.boundary.keep_running, name, run
            )
        host, _, port = listen.rpartition(':')
        await self._listener.start(host, int(port))

    def fail_health_check(self) -> None:
        """Report not ready to the balancer; still accept new callers."""
        self._is_reported_not_ready = True

    def refuse_new_statements(self) -> None:
        """Refuse new statements; finish those in flight."""
        self._refuses_statements = True

    async def return_shares(self) -> None:
        """Close all connections and return their shares to control.

        Call this after the last caller has disconnected: a transaction that
        is being finished still needs connections for its confirmation.
        """
        self._heartbeats.begin_drain()
        for pool in self._pools.pools:
            pool.set_limit(0)
        with anyio.move_on_after(SHARE_RETURN_TIMEOUT_S):
            # The first exchange may have been sent before the connections
            # were closed, so a second one follows. Exchanges never overlap,
            # because control relies on their order.
            await self._heartbeats.wait_for_exchange()
            await self._heartbeats.wait_for_exchange()

    async def _maintain(self) -> None:
        while True:
            await anyio.sleep(MAINTENANCE_INTERVAL_S)
            self._shares.enforce(anyio.current_time())
            for admission in self._admissions.values():
                admission.start_queued()
            self._evaluate_ejection()
            self._send_gauges()

    def _send_gauges(self) -> None:
        metrics = self._context.metrics
        metrics.send(Metric.callers_connected, self._listener.connection_count)
        metrics.send(Metric.settings_version, self._settings.version)
        for pool in self._pools.pools:
            label = pool.upstream_id
            metrics.send(
                Metric.connections_open, pool.load.open_connections, label
            )
            metrics.send(Metric.connections_share, pool.limit, label)

    def _evaluate_ejection(self) -> None:
        tree = self._settings.tree
        for group_id, view in self._directory.groups.items():
            regions = [member.region for member in view.members]
            settings = tree.effective_settings(
                tree.region_of(group_id, regions), group_id
            )
            self._loads.evaluate_ejection(
                view,
                factor=settings.ejection_factor,
                region=Region(self._context.options.region),
            )

    def _make_session(self) -> MysqlSession:
        return MysqlSession(
            chain=self._chain, is_draining=lambda: self._refuses_statements
        )

    def _build_heartbeats(self) -> Heartbeats:
        context = self._context
        options = context.options
        return Heartbeats(
            identity=ProxyIdentity(
                host_id=HostId(options.host_id),
                incarnation=context.start_id,
                region=Region(options.region),
                failure_domain=FailureDomain(options.failure_domain),
                address=options.listen or '',
            ),
            control=options.control,
            directory=self._directory,
            pools=self._pools,
            loads=self._loads,
            settings=self._settings,
            shares=self._shares,
            prober=Prober(
                backend=self._backend,
                directory=self._directory,
                tasks=self._guarded,
                record_lost=self._shares.record_lost,
            ),
            pop_announcements=self._relay.pop_all,
            clock=context.clock,
            events=context.events,
            tls=context.peer_client,
        )

    def _build_chain(self) -> Forward:
        primaries = PrimaryConnector(
            directory=self._directory, pools=self._pools
        )
        at_most_once = AtMostOnce()
        outcomes = OutcomeReader(
            primaries=primaries,
            at_most_once=at_most_once,
            confirmer=self._confirmer,
        )
        filters: list[Filter] = [
            ObserveFilter(
                events=self._context.events,
                metrics=self._context.metrics,
                directory=self._directory,
            ),
            HintsFilter(verify=self._verify, settings=self._effective_settings),
            ClassifyFilter(),
            LocalFilter(sign=self._sign, outcomes=outcomes),
            ConfirmFilter(confirmer=self._confirmer),
            TransactionFilter(primaries=primaries, at_most_once=at_most_once),
            AdmitFilter(admission=self._admission),
            RouteFilter(
                region=Region(self._context.options.region),
                directory=self._directory,
                pools=self._pools,
                primaries=primaries,
                loads=self._loads,
                budgets=RetryBudgets(),
                read_index=self._read_index,
                random_number=random.random,
            ),
            AtMostOnceFilter(at_most_once=at_most_once),
            ExecuteFilter(),
        ]
        return build_chain(filters)

    def _effective_settings(self, session: SessionState) -> EffectiveSettings:
        tree = self._settings.tree
        group_id = session.group_id
        if group_id is None:
            return tree.effective_settings()
        view = self._directory.group(group_id)
        regions = [member.region for member in view.members] if view else []
        return tree.effective_settings(
            tree.region_of(group_id, regions), group_id, session.caller_id
        )

    def _confirmer(self, group_id: GroupId) -> GroupConfirmer:
        confirmer = self._confirmers.get(group_id)
        if confirmer is None:
            confirmer = self._make_confirmer(group_id)
            self._confirmers[group_id] = confirmer
        return confirmer

    def _make_confirmer(self, group_id: GroupId) -> GroupConfirmer:
        return GroupConfirmer(
            group_id=group_id,
            directory=self._directory,
            pools=self._pools,
            tasks=self._guarded,
        )

    def _admission(self, group_id: GroupId) -> GroupAdmission:
        admission = self._admissions.get(group_id)
        if admission is None:
            admission = GroupAdmission(
                group_id=group_id,
                capacity=partial(self._capacity, group_id),
            )
            self._admissions[group_id] = admission
        return admission

    def _capacity(self, group_id: GroupId) -> GroupCapacity:
        view = self._directory.group(group_id)
        if view is None:
            return UNBOUNDED
        allowed = {
            member.upstream_id: self._allowed_statements(member.upstream_id)
            for member in view.members
        }
        if view.primary is None:
            # Writes wait for the promotion in the routing filter, until the
            # deadline of the statement at the latest.
            return UNBOUNDED
        return GroupCapacity(
            primary=max(allowed.get(view.primary, 0), 1),
            total=max(sum(allowed.values()), 1),
        )

    def _allowed_statements(self, upstream_id: UpstreamId) -> int:
        pool = self._pools.get(upstream_id)
        if pool is None:
            return 0
        return self._loads.in_flight_limit(upstream_id, pool.limit)

    def _read_index(self, group_id: GroupId) -> GroupReadIndex:
        read_index = self._read_indexes.get(group_id)
        if read_index is None:
            read_index = self._make_read_index(group_id)
            self._read_indexes[group_id] = read_index
        return read_index

    def _make_read_index(self, group_id: GroupId) -> GroupReadIndex:
        return GroupReadIndex(
            group_id=group_id,
            directory=self._directory,
            pools=self._pools,
            tasks=self._guarded,
        )

    def _sign(self, token: SessionToken) -> str:
        return sign_token(token, self._keyring.keys(self._settings.tree))

    def _verify(self, text: str) -> Result[SessionToken, StatementError]:
        verified = verify_token(text, self._keyring.keys(self._settings.tree))
        return verified.and_then(Ok)
