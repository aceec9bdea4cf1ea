"""Fixture: controllers of a control host with members in memory."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import trio
import trio.testing

from lavendergate.backends.admin import MemberAddress
from lavendergate.backends.admin_memory import MemoryMemberAdmin
from lavendergate.backends.member_memory import MemoryMember
from lavendergate.controllers.failover import FailoverController
from lavendergate.controllers.log_memory import MemoryLog
from lavendergate.controllers.membership import MembershipController
from lavendergate.controllers.share_source import NoShares
from lavendergate.controllers.shares import ShareController
from lavendergate.controllers.status import StatusController
from lavendergate.core.failover_types import Report
from lavendergate.core.reports import Announcement
from lavendergate.core.share_division import DivisionRule
from lavendergate.core.types import (
    FailureDomain,
    GroupId,
    HostId,
    MemberRole,
    Region,
    SettingsVersion,
    UpstreamId,
)
from lavendergate.rpc.announcement_signature import sign_announcement
from lavendergate.rpc.messages import (
    AnnounceReply,
    AnnounceRequest,
    HeartbeatRequest,
    ProbeResult,
)

KEY = b'key of the tests'
GROUP = GroupId('glasdaten-1')
NAMES = ('a', 'b', 'c')


class ControlFixture:
    """One control host, and three members that announce themselves."""

    def __init__(self, share_rule: DivisionRule | None = None) -> None:
        self.log = MemoryLog()
        self.members = {name: MemoryMember(name=name) for name in NAMES}
        self.addresses = {
            name: MemberAddress(host='127.0.0.1', port=3000 + index)
            for index, name in enumerate(NAMES)
        }
        self.admin = MemoryMemberAdmin(
            members={
                self.addresses[name]: member
                for name, member in self.members.items()
            },
            delay_s=0.02,
        )
        self.forwarded: list[str] = []
        self.reports: list[Report] = []
        self.leaving: set[str] = set()
        self.shares: ShareController | NoShares = NoShares()
        if share_rule is not None:
            self.shares = ShareController(
                log=self.log, admin=self.admin, rule=share_rule
            )
        self.silent: set[str] = set()
        self.membership = MembershipController(
            log=self.log,
            announce_key=KEY,
            forward=self._forward,
            shares=self.shares,
            merge_clock=lambda clock: clock + 1,
        )
        self.failover = FailoverController(
            log=self.log,
            membership=self.membership,
            admin=self.admin,
            report=lambda _, report: self.reports.append(report),
        )
        self.status = StatusController(
            log=self.log,
            membership=self.membership,
            failover=self.failover,
            shares=self.shares,
        )

    @property
    def primaries(self) -> list[str]:
        return [
            name
            for name, member in self.members.items()
            if member.role is MemberRole.primary
        ]

    def run(
        self, scenario: Callable[['ControlFixture'], Awaitable[None]]
    ) -> None:
        """Run a scenario with the controllers, in virtual time."""

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.membership.run)
                tasks.start_soon(self.failover.run)
                if isinstance(self.shares, ShareController):
                    tasks.start_soon(self.shares.run)
                tasks.start_soon(self._run_members)
                with anyio.fail_after(300):
                    await scenario(self)
                tasks.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def announcement(self, name: str, **changes: Any) -> Announcement:
        values: dict[str, Any] = {
            'upstream_id': UpstreamId(name),
            'group_id': GROUP,
            'region': Region('Oberbayern'),
            'failure_domain': FailureDomain(f'domain-{name}'),
            'host': self.addresses[name].host,
            'port': self.addresses[name].port,
            'connection_limit': 16,
            'slots': 2,
            'leaving': name in self.leaving,
            'incarnation': f'incarnation-{name}',
            'status': self.members[name].status(),
        }
        return Announcement(**{**values, **changes})

    async def announce(self, *announcements: Announcement) -> AnnounceReply:
        return await self.membership.announce(
            AnnounceRequest(
                announcements=tuple(
                    sign_announcement(one, KEY) for one in announcements
                )
            )
        )

    def heartbeat(
        self, name: str = 'proxy-1', **changes: Any
    ) -> HeartbeatRequest:
        values: dict[str, Any] = {
            'host_id': HostId(name),
            'incarnation': f'incarnation-{name}',
            'region': Region('Oberbayern'),
            'failure_domain': FailureDomain(f'domain-{name}'),
            'address': f'127.0.0.2:{name}',
            'settings_version': SettingsVersion(0),
            'directory_version': 0,
            'demands': (),
            'probes': (),
            'suspected': (),
            'announcements': (),
            'draining': False,
            'clock': 0,
        }
        return HeartbeatRequest(**{**values, **changes})

    async def run_proxy(self, name: str) -> None:
        """Send heartbeats and run the probes that the leader requests."""
        probes: tuple[ProbeResult, ...] = ()
        version = 0
        while True:
            reply = await self.membership.heartbeat(
                self.heartbeat(name, probes=probes, directory_version=version)
            )
            version = reply.directory_version
            probes = tuple(
                ProbeResult(
                    upstream_id=upstream_id,
                    reachable=self.members[upstream_id].is_reachable,
                    age_ms=0,
                )
                for upstream_id in reply.probe
            )
            await anyio.sleep(0.25 if probes else 0.01)

    async def _forward(
        self, address: str, request: AnnounceRequest
    ) -> AnnounceReply:
        self.forwarded.append(address)
        return AnnounceReply(hosts=(address,))

    async def _run_members(self) -> None:
        while True:
            for member in self.members.values():
                if member.is_reachable:
                    self._replicate(member)
            reachable = [
                self.announcement(name)
                for name, member in self.members.items()
                if member.is_reachable and name not in self.silent
            ]
            if reachable:
                await self.announce(*reachable)
            await anyio.sleep(0.25)

    def _replicate(self, member: MemoryMember) -> None:
        if member.primary is not None and member.primary.is_reachable:
            member.replicate()
            member.primary_contact_ms = 0
        else:
            member.primary_contact_ms += 250
