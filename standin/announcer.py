"""Announces the member to the hosts, like the agent of the platform."""

import asyncio
import secrets

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError

from lavendergate.core.reports import Announcement
from lavendergate.core.types import (
    FailureDomain,
    GroupId,
    Region,
    UpstreamId,
)
from lavendergate.rpc.announcement_signature import sign_announcement
from lavendergate.rpc.codec import MessagePackCodec
from lavendergate.rpc.messages import AnnounceRequest
from lavendergate.rpc.methods import ANNOUNCE
from lavendergate.rpc.service import call
from standin.faults import Faults
from standin.group import GroupMember
from standin.options import MemberOptions

_INTERVAL_S = 0.25
_CALL_TIMEOUT_S = 0.2


class Announcer:
    """Sends announcements periodically, each to one of the hosts.

    Parameters
    ----------
    options
        Identity and location of the member, hosts and shared key.
    member, faults
        State of the member.
    """

    def __init__(
        self, *, options: MemberOptions, member: GroupMember, faults: Faults
    ) -> None:
        self.is_leaving = False
        self._options = options
        self._member = member
        self._faults = faults
        self._incarnation = secrets.token_hex(8)
        self._hosts = list(options.announce_to)
        self._channels: dict[str, Channel] = {}
        self._host_index = 0

    async def run(self) -> None:
        """Announce until cancelled."""
        try:
            while self._hosts:
                if not self._faults.is_announcing_stopped:
                    await self.announce()
                await asyncio.sleep(_INTERVAL_S)
        finally:
            for channel in self._channels.values():
                channel.close()

    async def announce(self) -> bool:
        """Send one announcement; try the hosts in turn until one accepts it.

        Returns
        -------
        bool
            Whether a host accepted the announcement.
        """
        for _ in range(len(self._hosts)):
            host = self._hosts[self._host_index % len(self._hosts)]
            if await self._announce_to(host):
                return True
            self._host_index += 1
        return False

    async def _announce_to(self, host: str) -> bool:
        signed = sign_announcement(
            self._announcement(), self._options.announce_key.encode()
        )
        try:
            async with asyncio.timeout(_CALL_TIMEOUT_S):
                reply = await call(
                    self._channel(host),
                    ANNOUNCE,
                    AnnounceRequest(announcements=(signed,)),
                    timeout_s=_CALL_TIMEOUT_S,
                )
        except (OSError, GRPCError, StreamTerminatedError):
            return False
        self._update_hosts(reply.hosts)
        return reply.problem is None

    def _update_hosts(self, hosts: tuple[str, ...]) -> None:
        """Add the hosts of a reply to the configured ones.

        Hosts of earlier replies are dropped. The next announcement goes to
        the same host as before if it is still known.
        """
        current = self._hosts[self._host_index % len(self._hosts)]
        configured = self._options.announce_to
        learned = [host for host in hosts if host not in configured]
        if self._hosts == [*configured, *learned]:
            return
        self._hosts = [*configured, *learned]
        if current in self._hosts:
            self._host_index = self._hosts.index(current)

    def _channel(self, host: str) -> Channel:
        if host not in self._channels:
            address, _, port = host.rpartition(':')
            self._channels[host] = Channel(
                address, int(port), codec=MessagePackCodec()
            )
        return self._channels[host]

    def _announcement(self) -> Announcement:
        options = self._options
        return Announcement(
            upstream_id=UpstreamId(options.upstream_id),
            group_id=GroupId(options.group),
            region=Region(options.region),
            failure_domain=FailureDomain(options.failure_domain),
            host=options.host,
            port=options.port,
            connection_limit=options.connection_limit,
            slots=options.slots,
            leaving=self.is_leaving,
            incarnation=self._incarnation,
            status=self._member.status(),
        )
