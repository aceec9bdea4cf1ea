"""Runs statements at members through their home proxies."""

from collections.abc import Callable, Iterable

from lavendergate.backends.sessions import (
    HomeLostError,
    MemberUnreachableError,
)
from lavendergate.controllers.relays.link import RelayLink
from lavendergate.controllers.waiters import TaskStarter
from lavendergate.core.customers.table import CustomerName
from lavendergate.core.fleet_directory import MemberEntry
from lavendergate.core.relays.homes import (
    HomeDirectory,
    ProxyAddress,
    order_homes,
)
from lavendergate.observability.log import EventLog
from lavendergate.rpc.relay_service import (
    RelayReply,
    RelayRequest,
    RelayStatus,
)
from lavendergate.rpc.relay_transport import (
    RelayLostError,
    RelayNotSentError,
    RelayTransport,
)


class RelayClient:
    """Chooses the home of each member and passes statements on to it.

    Parameters
    ----------
    own_address
        Address of this proxy, ``ip:port``.
    transport
        Calls homes.
    tasks
        Runs the checks of homes that do not answer.
    is_scarce
        Returns whether a member has fewer connections than there are proxies.
    real_clock
        Time that also passes while the host is suspended, in seconds.
    """

    def __init__(
        self,
        *,
        own_address: str,
        transport: RelayTransport,
        tasks: TaskStarter,
        is_scarce: Callable[[MemberEntry], bool],
        real_clock: Callable[[], float],
        events: EventLog,
    ) -> None:
        self._own_address = own_address
        self._transport = transport
        self._tasks = tasks
        self._is_scarce = is_scarce
        self._real_clock = real_clock
        self._events = events
        self._directory = HomeDirectory()
        self._links: dict[str, RelayLink] = {}

    def change_proxies(self, proxies: Iterable[ProxyAddress]) -> None:
        """Replace the proxies that can be homes."""
        self._directory.replace(proxies)

    def is_home(self, member: MemberEntry) -> bool:
        """Return whether this proxy is one of the homes of a member."""
        return self._own_address in self._directory.homes_of(member)

    def link_for(
        self, member: MemberEntry, customer: CustomerName | None = None
    ) -> RelayLink | None:
        """Return the link to the member's home for a customer.

        None if this proxy connects to the member itself: because it is the
        home, no home can be used, or every proxy may connect.
        """
        if not self._is_scarce(member):
            return None
        home = self._first_usable(member, customer)
        if home is None or home == self._own_address:
            return None
        return self._link(home)

    async def run(
        self,
        member: MemberEntry,
        make_request: Callable[[RelayLink], RelayRequest],
        customer: CustomerName | None = None,
    ) -> tuple[RelayLink, RelayReply]:
        """Have the first home run a statement that does not decline it.

        The homes divide the customers among themselves, so that a home finds
        an open connection for most statements.

        Raises
        ------
        MemberUnreachableError
            If no home took the statement; it did not run.
        AnswerLostError
            If a home took it and did not answer.
        """
        while True:
            link = self.link_for(member, customer)
            if link is None:
                raise MemberUnreachableError(
                    f'no home passes statements on to {member.upstream_id}'
                )
            try:
                await link.connect()
                reply = await link.run(make_request(link))
            except RelayNotSentError:
                continue
            except RelayLostError as error:
                raise HomeLostError(str(error)) from error
            if reply.status != RelayStatus.declined:
                return link, reply
            link.record_declined()

    def _first_usable(
        self, member: MemberEntry, customer: CustomerName | None
    ) -> str | None:
        homes = self._directory.homes_of(member)
        if self._own_address in homes:
            return self._own_address
        for home in order_homes(homes, customer or self._own_address):
            if self._link(home).is_usable:
                return home
        return None

    def _link(self, address: str) -> RelayLink:
        link = self._links.get(address)
        if link is None:
            link = RelayLink(
                address=address,
                transport=self._transport,
                tasks=self._tasks,
                real_clock=self._real_clock,
                events=self._events,
            )
            self._links[address] = link
        return link
