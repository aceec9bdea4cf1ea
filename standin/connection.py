"""Server side of a MySQL connection."""

import asyncio
import io
import time
import traceback
from collections.abc import Awaitable, Callable
from typing import Any

from mysql_mimic import packets, types
from mysql_mimic.auth import NativePasswordAuthPlugin, User
from mysql_mimic.connection import Connection
from mysql_mimic.constants import KillKind
from mysql_mimic.errors import MysqlError
from mysql_mimic.prepared import PreparedStatement
from mysql_mimic.results import ResultSet
from mysql_mimic.stream import ConnectionClosed
from mysql_mimic.types import Capabilities, Commands, ServerStatus

from standin.errors import MemberError, sqlstate
from standin.faults import ALL_CALLERS, Faults
from standin.parameters import decode_text, read_parameters
from standin.registry import ConnectionRegistry
from standin.replies import Reply, binary_row_packets, column_packets
from standin.session import MemberSession
from standin.stream import MemberStream
from standin.tokens import tokenize
from standin.translate import count_parameters

_HOST_ATTRIBUTE = 'lavendergate_host'
_NATIVE_PASSWORD = 'mysql_native_password'
_UNKNOWN_COMMAND = 1047


class MemberConnection(Connection):
    """Connection of mysql_mimic, extended to the behaviour of a member.

    The library doesn't report affected rows and insert ids, knows few error
    numbers, and accepts commands after a failed login.

    Parameters
    ----------
    registry
        Connections that count against the limit.
    faults
        Faults that the administrator has set.
    peer
        Address of the client, ``ip:port``.
    options
        Arguments of the connection class of mysql_mimic.
    """

    session: MemberSession
    stream: MemberStream
    _kill: KillKind | None

    def __init__(
        self,
        *,
        registry: ConnectionRegistry,
        faults: Faults,
        peer: str,
        **options: Any,
    ) -> None:
        super().__init__(control=None, **options)
        self._registry = registry
        self._faults = faults
        self._peer = peer
        self._state_since = time.monotonic()
        self._current_sql: str | None = None
        # Drivers read the autocommit mode from the greeting.
        self.status_flags = ServerStatus.SERVER_STATUS_AUTOCOMMIT
        self._commands: dict[int, Callable[[bytes], Awaitable[None]]] = {
            Commands.COM_QUERY: self.handle_query,
            Commands.COM_PING: self.handle_ping,
            Commands.COM_INIT_DB: self.handle_init_db,
            Commands.COM_CHANGE_USER: self.handle_change_user,
            Commands.COM_RESET_CONNECTION: self.handle_reset_connection,
            Commands.COM_STMT_PREPARE: self.handle_stmt_prepare,
            Commands.COM_STMT_EXECUTE: self.handle_stmt_execute,
            Commands.COM_STMT_CLOSE: self.handle_stmt_close,
            Commands.COM_STMT_RESET: self.handle_stmt_reset,
            Commands.COM_STMT_SEND_LONG_DATA: self.handle_stmt_send_long_data,
        }

    @property
    def is_administrator(self) -> bool:
        """Whether the administrator account is logged in."""
        return self.session.is_administrator

    def is_idle_for(self, idle_s: float) -> bool:
        """Return whether the connection has been idle for `idle_s` seconds.

        A connection with an open transaction is not idle.
        """
        if self._current_sql is not None or self.session.in_transaction:
            return False
        return time.monotonic() - self._state_since >= idle_s

    @property
    def peer_names(self) -> set[str]:
        """Names under which faults select the client of this connection."""
        host_name = self.client_connect_attrs.get(_HOST_ATTRIBUTE, '')
        names = {self._peer.rpartition(':')[0], host_name}
        if self.session.username and not self.is_administrator:
            names.add(ALL_CALLERS)
        return names - {''}

    def process_list_row(self) -> tuple[Any, ...]:
        """Return the connection's row of ``SHOW PROCESSLIST``."""
        return (
            self.connection_id,
            self.session.username,
            self._peer,
            self.session.database,
            'Sleep' if self._current_sql is None else 'Query',
            int(time.monotonic() - self._state_since),
            '',
            self._current_sql,
            self.client_connect_attrs.get(_HOST_ATTRIBUTE, ''),
        )

    @property
    def program_name(self) -> str:
        """Connection attribute ``program_name``."""
        return str(self.client_connect_attrs.get('program_name', ''))

    def stop_answering(self) -> None:
        """Send no more answers, but keep the connection open."""
        self.stream.is_silent = True

    def abort(self) -> None:
        """Close the connection without an answer."""
        self.stream.is_silent = True
        self.stream.writer.transport.abort()

    async def connection_phase(self) -> None:
        """Apply faults that select the client's address, then log in."""
        self._apply_faults()
        await super().connection_phase()

    async def authenticate(
        self,
        *,
        username: str,
        auth_response: bytes,
        client_plugin_name: str | None,
        **_unused: Any,
    ) -> None:
        """Check a native password, then register the connection.

        Raises
        ------
        MemberError
            If the login or the connection is refused.
        """
        self.session.username = None
        user = await self.identity_provider.get_user(username)
        nonce = self.handshake_auth_data or b''
        if client_plugin_name not in {None, _NATIVE_PASSWORD}:
            auth_response = await self._switch_plugin(nonce)
        plugin = NativePasswordAuthPlugin()
        account = user or User(name=username, auth_string='00')
        if not plugin.password_matches(
            account, auth_response, nonce.rstrip(b'\0')
        ):
            raise MemberError(1045, f"Access denied for user '{username}'")
        self.session.username = username
        await self._register()
        await self.stream.write(self.ok())

    async def _start(self) -> None:
        try:
            await self._log_in()
            await self.command_phase()
        except (ConnectionClosed, ConnectionError):
            pass
        except asyncio.CancelledError:
            if self._kill is not KillKind.CONNECTION:
                raise
            self.stream.writer.transport.abort()
        finally:
            self._registry.remove(self)
            await self.session.close()

    async def _log_in(self) -> None:
        try:
            await self.connection_phase()
        except (MemberError, MysqlError) as error:
            await self.stream.write(self.error(msg=error))
            raise ConnectionClosed from error

    async def command_phase(self) -> None:
        """Answer commands until the client disconnects."""
        while True:
            self.stream.reset_seq()
            data = await self.stream.read()
            if not data or data[0] == Commands.COM_QUIT:
                return
            await self._handle_command(data)
            if self.session.username is None:
                # COM_CHANGE_USER failed.
                return

    async def _handle_command(self, data: bytes) -> None:
        handler = self._commands.get(data[0], self._refuse_unknown_command)
        try:
            await handler(data[1:])
        except (MemberError, MysqlError) as error:
            await self.stream.write(self.error(msg=error))
        except asyncio.CancelledError:
            if self._kill is not KillKind.QUERY or self._task is None:
                raise
            self._kill = None
            self._task.uncancel()
            interrupted = MemberError(1317, 'Query execution was interrupted')
            await self.stream.write(self.error(msg=interrupted))
        except (ConnectionClosed, OSError):
            raise
        except Exception as error:
            traceback.print_exc()
            await self.stream.write(self.error(msg=error))

    async def _refuse_unknown_command(self, data: bytes) -> None:
        raise MemberError(_UNKNOWN_COMMAND, 'Unknown command')

    async def handle_change_user(self, data: bytes) -> None:
        """Roll back, then log in as another user."""
        await self.session.reset()
        await super().handle_change_user(data)

    async def handle_query(self, data: bytes) -> None:
        """Answer a text query."""
        reader = io.BytesIO(data)
        if self._has_query_attributes:
            count = types.read_uint_len(reader)
            types.read_uint_len(reader)
            read_parameters(reader, count, has_names=True)
        reply = await self._run(decode_text(reader.read()), ())
        if not reply.columns:
            await self._write_ok(reply)
            return
        await self.write_text_resultset(ResultSet(reply.rows, reply.columns))

    async def handle_stmt_prepare(self, data: bytes) -> None:
        """Prepare a statement."""
        sql = decode_text(data)
        statement = PreparedStatement(
            stmt_id=next(self.prepared_stmt_seq),
            sql=sql,
            num_params=count_parameters(tokenize(sql)),
        )
        self.prepared_stmts[statement.stmt_id] = statement
        for packet in self.com_stmt_prepare_response(statement):
            await self.stream.write(packet, drain=False)
        await self.stream.drain()

    async def handle_stmt_execute(self, data: bytes) -> None:
        """Execute a prepared statement; cursors are not supported."""
        reader = io.BytesIO(data)
        statement = self.get_stmt(types.read_uint_4(reader))
        types.read_uint_1(reader)
        types.read_uint_4(reader)
        parameters = self._statement_parameters(reader, statement)
        reply = await self._run(statement.sql, parameters)
        if not reply.columns:
            await self._write_ok(reply)
            return
        await self._write_binary_rows(reply)

    async def handle_stmt_reset(self, data: bytes) -> None:
        """Reset a prepared statement; an open transaction stays open."""
        statement = self.get_stmt(types.read_uint_4(io.BytesIO(data)))
        statement.param_buffers = None
        await self.stream.write(self.ok())

    def error(self, *, msg: Exception, **_unused: Any) -> bytes:
        """Return an error packet, also for numbers unknown to the library."""
        code = int(getattr(msg, 'code', 1105))
        text = getattr(msg, 'message', None) or str(msg)
        header = b'\xff' + code.to_bytes(2, 'little')
        state = f'#{sqlstate(code)}'.encode()
        return header + state + text.encode('utf-8', 'replace')

    def _apply_faults(self) -> None:
        names = self.peer_names
        if self._faults.is_refused(names=names):
            self.abort()
            raise ConnectionClosed
        if self._faults.is_blackholed(names=names):
            self.stop_answering()

    async def _register(self) -> None:
        self._apply_faults()
        await self.session.init(self)
        if self.session.database:
            await self.session.use(self.session.database)
        self._registry.remove(self)
        self._registry.add(self)
        await asyncio.sleep(self._faults.connect_delay_s)
        self._refresh_status()

    async def _switch_plugin(self, nonce: bytes) -> bytes:
        await self.stream.write(
            packets.make_auth_switch_request(
                server_charset=self.server_charset,
                plugin_name=_NATIVE_PASSWORD,
                plugin_provided_data=nonce,
            )
        )
        return await self.stream.read()

    async def _run(self, sql: str, parameters: tuple[Any, ...]) -> Reply:
        self._current_sql = sql
        self._state_since = time.monotonic()
        try:
            return await self.session.execute(sql, parameters)
        finally:
            self._current_sql = None
            self._state_since = time.monotonic()
            self._refresh_status()

    def _refresh_status(self) -> None:
        flags = ServerStatus(0)
        if self.session.is_autocommit:
            flags |= ServerStatus.SERVER_STATUS_AUTOCOMMIT
        if self.session.in_transaction:
            flags |= ServerStatus.SERVER_STATUS_IN_TRANS
        self.status_flags = flags

    def _statement_parameters(
        self, reader: io.BytesIO, statement: PreparedStatement
    ) -> tuple[Any, ...]:
        count = statement.num_params
        if count and self._has_query_attributes:
            count = types.read_uint_len(reader)
        long_data, statement.param_buffers = statement.param_buffers, None
        values = read_parameters(
            reader,
            count,
            has_names=self._has_query_attributes,
            long_data=long_data,
        )
        return tuple(values[: statement.num_params])

    @property
    def _has_query_attributes(self) -> bool:
        return Capabilities.CLIENT_QUERY_ATTRIBUTES in self.capabilities

    async def _write_ok(self, reply: Reply) -> None:
        await self.stream.write(
            self.ok(
                affected_rows=reply.affected_rows,
                last_insert_id=reply.last_insert_id,
            )
        )

    async def _write_binary_rows(self, reply: Reply) -> None:
        parts = column_packets(reply, self.server_charset)
        if not self.deprecate_eof():
            parts.append(self.eof())
        parts += binary_row_packets(reply)
        parts.append(self.ok_or_eof())
        self.stream.write_many(parts)
        await self.stream.drain()
