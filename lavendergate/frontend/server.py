"""Listener for callers that use the MySQL protocol."""

import asyncio
import contextlib
import ssl
from collections.abc import Callable, Mapping

from mysql_mimic import packets
from mysql_mimic.auth import IdentityProvider, NativePasswordAuthPlugin, User
from mysql_mimic.control import LocalControl
from mysql_mimic.errors import MysqlError
from mysql_mimic.stream import ConnectionClosed

from lavendergate.frontend.connection import BoundedStream, CallerConnection
from lavendergate.frontend.session import MysqlSession

_BACKLOG = 1024
# TimeoutError is an OSError.
_CALLER_ERRORS = (MysqlError, ConnectionClosed, OSError, EOFError)


class CallerAccounts(IdentityProvider):
    """Accounts of callers, with ``mysql_native_password`` hashes.

    Parameters
    ----------
    auth_strings
        Caller names with their auth strings: ``*`` and 40 hex digits.
    """

    def __init__(self, *, auth_strings: Mapping[str, str]) -> None:
        self._auth_strings = {
            name: auth_string.lstrip('*').lower()
            for name, auth_string in auth_strings.items()
        }

    async def get_user(self, username: str) -> User | None:
        """Return the account of a caller, or None if it is unknown."""
        auth_string = self._auth_strings.get(username)
        if auth_string is None:
            return None
        return User(
            name=username,
            auth_string=auth_string,
            auth_plugin=NativePasswordAuthPlugin.name,
        )


class CallerListener:
    """Accepts callers and serves each on its own connection.

    Parameters
    ----------
    session_factory
        Makes the session of a new connection.
    accounts
        Accounts that may log in.
    tls
        TLS context, or None for plain connections.
    """

    def __init__(
        self,
        *,
        session_factory: Callable[[], MysqlSession],
        accounts: CallerAccounts,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._session_factory = session_factory
        self._accounts = accounts
        self._tls = tls
        self._control = LocalControl()
        self._server: asyncio.Server | None = None
        self._connections: dict[CallerConnection, asyncio.StreamWriter] = {}

    @property
    def connection_count(self) -> int:
        """Number of open connections of callers."""
        return len(self._connections)

    @property
    def port(self) -> int:
        """Port of the listening socket; 0 before the start."""
        if self._server is None:
            return 0
        return int(self._server.sockets[0].getsockname()[1])

    @property
    def busy_count(self) -> int:
        """Number of connections with an open statement or transaction."""
        return sum(
            connection.session.is_busy for connection in self._connections
        )

    @property
    def running_count(self) -> int:
        """Number of connections whose statement has not been answered."""
        return sum(
            connection.session.is_running for connection in self._connections
        )

    async def start(self, host: str, port: int) -> None:
        """Start to accept connections of callers."""
        self._server = await asyncio.start_server(
            self._serve, host, port, backlog=_BACKLOG
        )

    def stop_accepting(self) -> None:
        """Close the listening socket; open connections are still served."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> int:
        """Close connections that are not busy; return how many remain."""
        for connection, writer in list(self._connections.items()):
            if not connection.session.is_busy:
                writer.close()
                self._connections.pop(connection, None)
        return len(self._connections)

    def give_up_statements(self) -> None:
        """Answer all running statements as unknown."""
        for connection in self._connections:
            connection.session.give_up_statement()

    def close_all(self) -> int:
        """Close all connections immediately; return how many were open."""
        count = len(self._connections)
        for writer in self._connections.values():
            writer.close()
        return count

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = CallerConnection(
            stream=BoundedStream(reader, writer),
            session=self._session_factory(),
            control=self._control,
            identity_provider=self._accounts,
            server_capabilities=_SERVER_CAPABILITIES,
            ssl=self._tls,
        )
        connection.connection_id = await self._control.add(connection)
        self._connections[connection] = writer
        try:
            await connection.start()
        except _CALLER_ERRORS:
            # The caller disconnected, or its login failed and was answered.
            return
        finally:
            self._connections.pop(connection, None)
            writer.close()
            await self._control.remove(connection.connection_id)
            with contextlib.suppress(OSError, EOFError):
                await writer.wait_closed()


_SERVER_CAPABILITIES = packets.DEFAULT_SERVER_CAPABILITIES
