"""Pools of session protocol connections to members, shared by all callers."""

from collections.abc import Callable, Mapping

import anyio

from lavendergate.backends.sessions import (
    AnswerLostError,
    MemberDialer,
    MemberRefusedError,
    MemberUnreachableError,
)
from lavendergate.controllers.member_link import MemberLink, PooledSession
from lavendergate.controllers.members.turns import NoConnectionError
from lavendergate.controllers.waiters import TaskStarter
from lavendergate.core.customers.connections import (
    find_replaceable,
    find_reusable,
)
from lavendergate.core.fleet_directory import MemberEntry
from lavendergate.core.service_order.fair_share import Ticket
from lavendergate.core.sessions.context import (
    SYSTEM_CONTEXT,
    StatementContext,
)
from lavendergate.core.sessions.shares import ConnectionShare
from lavendergate.core.sessions.statements import (
    Phase,
    RefusalCode,
    Refused,
)
from lavendergate.core.types import UpstreamId
from lavendergate.observability.exposition import HttpMetrics
from lavendergate.observability.log import EventLog

# Pause after a member refused a connection because of its limit, and
# between attempts to reach a member that failed, in seconds.
_RECONNECT_DELAY_S = 0.25
_SURPLUS_CHECK_INTERVAL_S = 0.05
_PROBE_TIMEOUT_S = 0.8
# Factor on the share at the primary. Write transactions occupy connections to
# the primary between their statements, so a host may open up to twice its
# share there, on the assumption that other hosts use less than theirs.
_PRIMARY_SHARE_FACTOR = 2


class SessionPools:
    """Connections of this host to all members.

    Parameters
    ----------
    dialer
        Opens connections.
    tasks
        Task group for probing failed members and closing connections.
    clock
        Monotonic time, in seconds.
    share
        Returns the share of this host in the connections to a member.
    home_share
        Returns the share for the statements that other proxies pass on.
    events, metrics
        Receive failures and answers.
    """

    def __init__(
        self,
        *,
        dialer: MemberDialer,
        tasks: TaskStarter,
        clock: Callable[[], float],
        share: Callable[[MemberEntry], ConnectionShare],
        home_share: Callable[[MemberEntry], ConnectionShare] | None = None,
        events: EventLog,
        metrics: HttpMetrics,
    ) -> None:
        self._events = events
        self._metrics = metrics
        self._dialer = dialer
        self._tasks = tasks
        self._clock = clock
        self._share = share
        self._home_share = home_share or share
        self._links: dict[UpstreamId, MemberLink] = {}
        self._probing: set[UpstreamId] = set()

    @property
    def links(self) -> Mapping[UpstreamId, MemberLink]:
        """Links by member."""
        return self._links

    def link(self, entry: MemberEntry) -> MemberLink:
        """Return the link to a member, or create one.

        The link to an earlier start of the member is closed.
        """
        link = self._links.get(entry.upstream_id)
        if link is not None and link.entry.is_same_instance(entry):
            link.change_entry(entry)
        else:
            if link is not None:
                self._close_link(link)
            link = MemberLink(
                entry=entry,
                clock=self._clock,
                events=self._events,
                metrics=self._metrics,
            )
            if self._has_answering_peer(entry):
                # While a whole service starts, no member can take the load
                # of one that begins at a low pace.
                link.pace.start()
            self._links[entry.upstream_id] = link
        return link

    def _has_answering_peer(self, entry: MemberEntry) -> bool:
        return any(
            link.entry.service == entry.service
            and link.answered_at > float('-inf')
            for link in self._links.values()
        )

    def lacks_connection(self, entry: MemberEntry) -> bool:
        """Return whether this host could keep a connection and has none.

        It keeps none of its own to a member that has homes, or where there
        are fewer connections than proxies. A member that failed is probed
        until it answers.
        """
        if self._dialer.is_relayed(entry) or not self._share(entry).min_open:
            return False
        link = self._links.get(entry.upstream_id)
        return link is None or not (link.opened or link.is_suspect)

    async def connect(self, entry: MemberEntry, deadline: float) -> None:
        """Open an idle connection to a member, unless there is one.

        Parameters
        ----------
        deadline
            Time at which the attempt ends, on the clock of the pools.
        """
        link = self.link(entry)
        if link.opened or not self._may_open(link, self._share(entry)):
            return
        try:
            pooled = await self._open(
                link, deadline, SYSTEM_CONTEXT, directly=False
            )
        except NoConnectionError:
            # The link has recorded the failure.
            return
        if pooled is not None:
            await self.release(pooled)

    async def acquire(
        self,
        entry: MemberEntry,
        values: Mapping[str, str],
        deadline: float,
        *,
        context: StatementContext = SYSTEM_CONTEXT,
        for_other_proxy: bool = False,
    ) -> PooledSession:
        """Return a connection to a member.

        Parameters
        ----------
        values
            Session variables; a connection on which they are set already is
            preferred.
        deadline
            Time at which waiting ends, on the clock of the pools.
        context
            Customer and priorities of the statement.
        for_other_proxy
            Whether another proxy passed the statement on. It then runs on a
            connection of this host and is not passed on again, even if this
            host would pass its own statements on.

        Raises
        ------
        NoConnectionError
            If no connection was free in time, or the member cannot be
            connected to.
        """
        link = self.link(entry)
        share = (self._home_share if for_other_proxy else self._share)(entry)
        link.turns.limit = link.statement_limit(share.statements)
        wait_times = self._metrics.connection_seconds.labels(entry.upstream_id)
        with wait_times.time():
            return await self._acquire(
                link,
                values,
                deadline,
                context,
                share if for_other_proxy else None,
            )

    async def _acquire(
        self,
        link: MemberLink,
        values: Mapping[str, str],
        deadline: float,
        context: StatementContext,
        home_share: ConnectionShare | None,
    ) -> PooledSession:
        ticket = Ticket(deadline=deadline, context=context)
        wait = link.connection_wait
        try:
            if wait.has_waiting:
                # A new statement does not overtake those that wait.
                self._pass_on(link, home_share)
                await wait.wait(ticket, self._longest_wait_s(link, deadline))
            return await self._acquire_next(link, values, ticket, home_share)
        finally:
            # One notification wakes one statement.
            self._pass_on(link, home_share)

    async def _acquire_next(
        self,
        link: MemberLink,
        values: Mapping[str, str],
        ticket: Ticket,
        home_share: ConnectionShare | None,
    ) -> PooledSession:
        deadline, context = ticket.deadline, ticket.context
        while True:
            pooled = await self._take_or_open(
                link, values, deadline, context, home_share
            )
            if pooled is not None:
                pooled.use_for(context)
                return pooled
            now = self._clock()
            if now >= deadline or link.is_closed:
                raise NoConnectionError(
                    refusal=_no_connection_refusal(link.entry)
                )
            await link.connection_wait.wait(
                ticket, self._longest_wait_s(link, deadline)
            )

    def _longest_wait_s(self, link: MemberLink, deadline: float) -> float:
        """Return how long a statement waits without being woken.

        Nothing wakes it when the member may be connected to again.
        """
        now = self._clock()
        until = deadline
        if now < link.next_connect_at:
            until = min(until, link.next_connect_at)
        return max(0, until - now)

    def _pass_on(
        self, link: MemberLink, home_share: ConnectionShare | None
    ) -> None:
        """Wake the statement that is next if a connection may be free."""
        share = home_share or self._share(link.entry)
        if link.connection_wait.has_waiting:
            if link.idle or self._may_open(link, share):
                link.connection_wait.notify()

    async def _take_or_open(
        self,
        link: MemberLink,
        values: Mapping[str, str],
        deadline: float,
        context: StatementContext,
        home_share: ConnectionShare | None,
    ) -> PooledSession | None:
        """Wait for a turn at the member, then return a connection.

        None if no connection is free; the turn is given back then, because
        statements of transactions need turns to end and free a connection.
        """
        await link.take_turn(is_new=True, deadline=deadline, context=context)
        pooled: PooledSession | None = None
        try:
            pooled = _take_idle(
                link, context, values, direct_only=home_share is not None
            )
            share = home_share or self._share(link.entry)
            if pooled is None:
                await self._make_room(link, share)
            if pooled is None and self._may_open(link, share):
                pooled = await self._open(
                    link, deadline, context, directly=home_share is not None
                )
        finally:
            if pooled is None:
                link.end_turn()
        if pooled is not None:
            pooled.holds_turn = True
        return pooled

    async def _make_room(
        self, link: MemberLink, share: ConnectionShare
    ) -> None:
        """Close an idle connection of another customer at the limit."""
        may_connect = self._clock() >= link.next_connect_at
        if may_connect and link.opened >= _limit(link, share):
            index = find_replaceable(link.idle)
            if index is not None:
                await self._replace(link.idle.pop(index))

    async def _replace(self, pooled: PooledSession) -> None:
        """Close a connection in whose place the caller opens another one.

        The place is free once the member has seen the end of the connection,
        and no waiting statement is woken to take it.
        """
        try:
            with anyio.CancelScope(shield=True):
                await pooled.session.close()
        finally:
            pooled.link.opened -= 1

    def _may_open(self, link: MemberLink, share: ConnectionShare) -> bool:
        may_connect = self._clock() >= link.next_connect_at
        return may_connect and link.opened < _limit(link, share)

    async def release(self, pooled: PooledSession) -> None:
        """Return a connection to the pool; an unusable one is closed."""
        link = pooled.link
        pooled.end_turn()
        is_usable = not pooled.is_broken and pooled.phase == Phase.idle
        if link.is_closed or not is_usable:
            await self.drop(pooled)
            return
        pooled.used_at = self._clock()
        link.idle.append(pooled)
        link.connection_wait.notify()

    async def drop(self, pooled: PooledSession) -> None:
        """Close a connection instead of returning it to the pool."""
        link = pooled.link
        pooled.end_turn()
        link.opened -= 1
        link.connection_wait.notify()
        if link.is_suspect:
            self._close_idle_and_probe(link)
        with anyio.CancelScope(shield=True):
            await pooled.session.close()

    async def run(self) -> None:
        """Close surplus idle connections, until cancelled."""
        while True:
            await anyio.sleep(_SURPLUS_CHECK_INTERVAL_S)
            for link in tuple(self._links.values()):
                if link.idle:
                    await self._close_surplus(link)

    def remove_member(self, upstream_id: UpstreamId) -> None:
        """Remove a member and close the idle connections to it."""
        link = self._links.pop(upstream_id, None)
        if link is not None:
            self._close_link(link)

    async def _open(
        self,
        link: MemberLink,
        deadline: float,
        context: StatementContext,
        *,
        directly: bool,
    ) -> PooledSession | None:
        link.opened += 1
        dial = self._dialer.dial_directly if directly else self._dialer.dial
        try:
            session, position = await dial(link.entry, context)
        except MemberRefusedError as error:
            link.opened -= 1
            self._handle_refusal(link, error.refusal, deadline)
            return None
        except MemberUnreachableError as error:
            link.opened -= 1
            link.next_connect_at = self._clock() + _RECONNECT_DELAY_S
            link.record_failure(str(error))
            self._close_idle_and_probe(link)
            raise NoConnectionError(
                refusal=Refused(code=RefusalCode.busy, text=str(error))
            ) from error
        except BaseException:
            link.opened -= 1
            raise
        if position is not None:
            link.applied = position
            link.applied_at = self._clock()
        self._metrics.opened_connections.labels(link.entry.upstream_id).inc()
        return PooledSession(
            session=session,
            link=link,
            opened_at=self._clock(),
            used_at=self._clock(),
            customer=context.customer,
        )

    def _handle_refusal(
        self, link: MemberLink, refusal: Refused, deadline: float
    ) -> None:
        link.next_connect_at = self._clock() + _RECONNECT_DELAY_S
        is_full = refusal.code == RefusalCode.connection_limit
        if is_full and self._clock() < deadline:
            return
        raise NoConnectionError(refusal=refusal)

    def _close_idle_and_probe(self, link: MemberLink) -> None:
        """Close idle connections of a suspected member and probe it.

        Idle connections to it may be dead without an error.
        """
        idle, link.idle = link.idle, []
        for pooled in idle:
            self._tasks.start_soon(self.drop, pooled)
        upstream_id = link.entry.upstream_id
        if upstream_id not in self._probing and not link.is_closed:
            self._probing.add(upstream_id)
            self._tasks.start_soon(self._probe, link)

    async def _probe(self, link: MemberLink) -> None:
        try:
            while link.is_suspect and not link.is_closed:
                await self._probe_once(link)
                await anyio.sleep(_RECONNECT_DELAY_S)
        finally:
            self._probing.discard(link.entry.upstream_id)
        link.connection_wait.notify_all()

    async def _probe_once(self, link: MemberLink) -> None:
        deadline = self._clock() + _PROBE_TIMEOUT_S
        try:
            pooled = await self.acquire(link.entry, {}, deadline)
        except NoConnectionError:
            return
        try:
            await pooled.report(timeout_s=_PROBE_TIMEOUT_S)
        except AnswerLostError:
            # `report` has recorded the failure on the link.
            await anyio.lowlevel.checkpoint()
        finally:
            await self.release(pooled)

    async def _close_surplus(self, link: MemberLink) -> None:
        now = self._clock()
        share = self._share(link.entry)
        for pooled in tuple(link.idle):
            is_surplus = link.opened > share.min_open
            # Statements may have taken it while others were closed.
            is_idle = pooled in link.idle
            is_old = now - pooled.used_at >= share.idle_s
            if is_surplus and is_idle and is_old:
                link.idle.remove(pooled)
                await self.drop(pooled)

    def _close_link(self, link: MemberLink) -> None:
        link.is_closed = True
        idle, link.idle = link.idle, []
        for pooled in idle:
            self._tasks.start_soon(self.drop, pooled)
        link.connection_wait.notify_all()


def _limit(link: MemberLink, share: ConnectionShare) -> int:
    if link.entry.is_primary and not share.is_home:
        return share.limit * _PRIMARY_SHARE_FACTOR
    return share.limit


def _take_idle(
    link: MemberLink,
    context: StatementContext,
    values: Mapping[str, str],
    *,
    direct_only: bool,
) -> PooledSession | None:
    index = find_reusable(link.idle, context, values, direct_only=direct_only)
    return None if index is None else link.idle.pop(index)


def _no_connection_refusal(entry: MemberEntry) -> Refused:
    return Refused(
        code=RefusalCode.busy,
        text=(
            f'no connection to member {entry.upstream_id} became free in '
            f'time; try again'
        ),
    )
