"""One member: its listener, sessions, replication and announcements."""

import asyncio
import contextlib

from mysql_mimic.auth import (
    IdentityProvider,
    NativePasswordAuthPlugin,
    User,
)
from mysql_mimic.constants import DEFAULT_SERVER_CAPABILITIES
from mysql_mimic.stream import ConnectionClosed

from lavendergate.core.types import MemberRole
from standin.announcer import Announcer
from standin.connection import MemberConnection
from standin.fault_commands import FaultCommands
from standin.faults import Faults
from standin.group import GroupMember
from standin.options import MemberOptions
from standin.procedures import Procedures
from standin.registry import ConnectionRegistry
from standin.replication import ReplicationStream
from standin.replication_client import ReplicationClient
from standin.replication_server import ReplicationServer
from standin.services import MemberServices
from standin.session import MemberSession
from standin.stream import MemberStream, ReplicationRequested

_MS_PER_S = 1000
_IDLE_CHECK_INTERVAL_S = 0.05
# A connection counts as idle after this time, in which the hosts learn that
# the member is leaving.
_MINIMUM_IDLE_S = 1.0


class MemberServer:
    """A stand-in for one upstream member.

    Parameters
    ----------
    options
        Options of the member.
    """

    def __init__(self, *, options: MemberOptions) -> None:
        self._options = options
        self.faults = Faults(
            replication_delay_s=options.replication_delay_ms / _MS_PER_S,
            service_s=options.service_ms / _MS_PER_S,
            connect_delay_s=options.connect_delay_ms / _MS_PER_S,
        )
        self.member = GroupMember(directory=options.data)
        self.registry = ConnectionRegistry(limit=options.connection_limit)
        self.member.connection_count = self.registry.__len__
        self._replication_client = ReplicationClient(
            upstream_id=options.upstream_id,
            group_id=options.group,
            member=self.member,
            faults=self.faults,
        )
        self._replication_server = ReplicationServer(
            group_id=options.group, member=self.member, faults=self.faults
        )
        self._services = self._make_services()
        self.announcer = Announcer(
            options=options, member=self.member, faults=self.faults
        )
        self._identities = _AccountProvider(options)
        self._announcer_task: asyncio.Task[None] | None = None
        self._server: asyncio.Server | None = None
        self._connection_tasks: set[asyncio.Task[None]] = set()
        self._is_stopped = False

    async def start(self) -> None:
        """Start the listener and the announcements."""
        self._server = await asyncio.start_server(
            self._accept, self._options.host, self._options.port
        )
        self._announcer_task = asyncio.create_task(self.announcer.run())

    async def leave(self) -> None:
        """Announce that the member leaves, then serve until it is idle.

        The wait ends after `MemberOptions.leave_limit_s` at the latest.
        """
        self.announcer.is_leaving = True
        await self.announcer.announce()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._options.leave_limit_s):
                while not self._is_idle():
                    await asyncio.sleep(_IDLE_CHECK_INTERVAL_S)

    async def stop(self) -> None:
        """Close the listener, all connections and the data."""
        if self._is_stopped:
            return
        self._is_stopped = True
        self._replication_client.stop()
        if self._server is not None:
            self._server.close()
        tasks = list(self._connection_tasks)
        if self._announcer_task is not None:
            tasks.append(self._announcer_task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.member.close()

    def _is_idle(self) -> bool:
        # A primary is never idle: it waits for the switchover to another
        # member.
        return self.member.role is not MemberRole.primary and all(
            connection.is_administrator
            or connection.is_idle_for(_MINIMUM_IDLE_S)
            for connection in self.registry
        )

    def _make_services(self) -> MemberServices:
        services = MemberServices(
            group_id=self._options.group,
            administrator=self._options.administrator.name,
            slots=self._options.slots,
            member=self.member,
            faults=self.faults,
            registry=self.registry,
        )
        services.procedures = Procedures(
            group_id=self._options.group,
            upstream_id=self._options.upstream_id,
            member=self.member,
            replication_client=self._replication_client,
            fault_commands=FaultCommands(
                faults=self.faults,
                member=self.member,
                registry=self.registry,
            ),
        )
        return services

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        if task is not None:
            self._connection_tasks.add(task)
            task.add_done_callback(self._connection_tasks.discard)
        try:
            await self._serve(reader, writer)
        except (OSError, EOFError, ConnectionClosed):
            pass
        except asyncio.CancelledError:
            writer.transport.abort()
        finally:
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        peer = writer.get_extra_info('peername')
        connection = MemberConnection(
            registry=self.registry,
            faults=self.faults,
            peer=f'{peer[0]}:{peer[1]}',
            stream=MemberStream(reader, writer),
            session=MemberSession(services=self._services),
            identity_provider=self._identities,
            server_capabilities=DEFAULT_SERVER_CAPABILITIES,
        )
        connection.connection_id = self.registry.new_id()
        try:
            await connection.start()
        except ReplicationRequested:
            await self._replication_server.serve(
                ReplicationStream(reader, writer)
            )


class _AccountProvider(IdentityProvider):
    """Looks up the accounts of callers and of the administrator."""

    def __init__(self, options: MemberOptions) -> None:
        self._users = {
            account.name: User(
                name=account.name,
                auth_string=NativePasswordAuthPlugin.create_auth_string(
                    account.password
                ),
            )
            for account in (options.account, options.administrator)
        }

    async def get_user(self, username: str) -> User | None:
        """Return an account, or None if it does not exist."""
        return self._users.get(username)
