"""Executes the statements of one MySQL connection."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable, Sequence
from typing import TYPE_CHECKING, Any

from mysql_mimic.session import BaseSession
from mysql_mimic.variables import GlobalVariables, SessionVariables

from standin.connect_attributes import (
    connect_attributes,
    reads_connect_attributes,
)
from standin.errors import MemberError, read_only_error
from standin.log import Statement
from standin.replies import Reply, table_reply
from standin.services import MemberServices
from standin.show import Variables, show
from standin.statements import (
    first_insert_id,
    is_call_of,
    locks_rows,
    text_after_verb,
    translate_definition,
)
from standin.tokens import Token, syntax_error, tokenize
from standin.transaction import Transaction
from standin.translate import translate

if TYPE_CHECKING:
    from standin.connection import MemberConnection

Handler = Callable[[Sequence[Token]], Awaitable[Reply]]

_MICROSECONDS_PER_S = 1_000_000
_SEED_BITS = 53


class MemberSession(BaseSession):
    """Statements, transaction and variables of one connection.

    Parameters
    ----------
    services
        State that the sessions of a member share.
    """

    def __init__(self, *, services: MemberServices) -> None:
        self.variables = SessionVariables(GlobalVariables())
        self.username: str | None = None
        self.database: str | None = None
        self._services = services
        self._system_variables = Variables(self.variables)
        self._transaction = Transaction(services=services)
        self._connection: MemberConnection | None = None
        self._parameters: Sequence[Any] = ()
        self._sql = ''
        self._is_qualified = False
        self._handlers = self._make_handlers()

    @property
    def schema(self) -> str:
        """Name of the only schema, which equals the group's."""
        return self._services.group_id

    @property
    def is_administrator(self) -> bool:
        """Whether the administrator account is logged in."""
        return self.username == self._services.administrator

    @property
    def is_autocommit(self) -> bool:
        """Whether each statement is a transaction of its own."""
        return self._transaction.is_autocommit

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open."""
        return self._transaction.is_open

    async def init(self, connection: 'MemberConnection') -> None:
        """Attach the session to its connection."""
        self._connection = connection
        self._transaction.connection = connection

    async def close(self) -> None:
        """Roll back and close the data connection."""
        self._transaction.close()

    async def reset(self) -> None:
        """Roll back and reset the variables to their defaults."""
        self._transaction.roll_back()
        self._transaction.is_autocommit = True
        self.variables = SessionVariables(GlobalVariables())
        self._system_variables = Variables(self.variables)

    async def use(self, database: str) -> None:
        """Select a schema."""
        if database not in {self.schema, 'information_schema', 'mysql'}:
            raise MemberError(1049, f"Unknown database '{database}'")
        self.database = database

    async def execute(self, sql: str, parameters: Sequence[Any]) -> Reply:
        """Execute a statement.

        Raises
        ------
        MemberError
            With the number that MySQL reports for the failure.
        """
        tokens = tokenize(sql)
        if not tokens:
            raise MemberError(1065, 'Query was empty')
        handler = self._handlers.get(tokens[0].upper)
        if handler is None:
            raise syntax_error(sql)
        self._sql = sql
        self._parameters = parameters
        if self._transaction.pop_aborted() and tokens[0].upper != 'ROLLBACK':
            raise read_only_error('the transaction was rolled back by a fence')
        return await handler(self._without_schema(tokens))

    def _make_handlers(self) -> dict[str, Handler]:
        handlers: dict[str, Handler] = {
            'BEGIN': self._begin,
            'START': self._begin,
            'COMMIT': self._commit,
            'ROLLBACK': self._roll_back,
            'SAVEPOINT': self._savepoint,
            'RELEASE': self._savepoint,
            'SET': self._set,
            'USE': self._use,
            'CALL': self._call,
            'KILL': self._kill,
        }
        for verb in ('SELECT', 'WITH', '('):
            handlers[verb] = self._select
        for verb in ('SHOW', 'DESCRIBE', 'DESC', 'EXPLAIN'):
            handlers[verb] = self._show
        for verb in ('INSERT', 'REPLACE', 'UPDATE', 'DELETE'):
            handlers[verb] = self._change_rows
        for verb in ('CREATE', 'DROP', 'ALTER', 'TRUNCATE'):
            handlers[verb] = self._change_schema
        return handlers

    async def _select(self, tokens: Sequence[Token]) -> Reply:
        if reads_connect_attributes(tokens):
            return connect_attributes(
                tokens,
                services=self._services,
                user=None if self.is_administrator else self.username,
            )
        reads_tables = any(token.upper == 'FROM' for token in tokens)
        if not reads_tables and is_call_of(tokens, 'SLEEP'):
            await asyncio.sleep(float(tokens[3].text))
            return table_reply((text_after_verb(self._sql),), ((0,),))
        statement = self._statement(
            translate(
                tokens,
                parameters=self._parameters,
                read_variable=self._read_variable,
            )
        )
        if not reads_tables:
            return self._query(statement)
        self._check_schema()
        if locks_rows(tokens) and self._transaction.is_multi_statement:
            await self._transaction.begin_write()
        async with self._services.slot():
            self._services.count_query()
            return self._query(statement)

    def _query(self, statement: Statement) -> Reply:
        cursor = self._transaction.data_connection().run(statement)
        names = [column[0] for column in cursor.description or ()]
        return table_reply(names, cursor.fetchall())

    async def _change_rows(self, tokens: Sequence[Token]) -> Reply:
        self._check_schema()
        sql = translate(
            tokens,
            parameters=self._parameters,
            read_variable=self._read_variable,
        )
        async with self._transaction.write() as transaction:
            cursor = transaction.run(self._statement(sql))
            affected = max(cursor.rowcount, 0)
            first_id = 0
            if tokens[0].upper in {'INSERT', 'REPLACE'} and affected:
                first_id = first_insert_id(
                    tokens, transaction, cursor, affected
                )
        if first_id:
            self._system_variables.last_insert_id = first_id
        return Reply(affected_rows=affected, last_insert_id=first_id)

    async def _change_schema(self, tokens: Sequence[Token]) -> Reply:
        self._check_schema()
        await self._transaction.commit()
        if tokens[1].upper in {'DATABASE', 'SCHEMA'}:
            raise MemberError(
                1044, 'a member holds one schema; create tables in it'
            )
        async with self._transaction.write() as transaction:
            for sql in translate_definition(tokens):
                transaction.run_definition(self._statement(sql))
        await self._transaction.commit()
        return Reply()

    async def _begin(self, tokens: Sequence[Token]) -> Reply:
        words = [token.upper for token in tokens]
        await self._transaction.commit()
        self._transaction.begin(
            is_read_only=words[-2:] == ['READ', 'ONLY'],
        )
        return Reply()

    async def _commit(self, tokens: Sequence[Token]) -> Reply:
        await self._transaction.commit()
        return Reply()

    async def _roll_back(self, tokens: Sequence[Token]) -> Reply:
        if len(tokens) > 1 and 'TO' in {token.upper for token in tokens}:
            self._transaction.roll_back_to(tokens[-1].text)
        else:
            self._transaction.roll_back()
        return Reply()

    async def _savepoint(self, tokens: Sequence[Token]) -> Reply:
        if tokens[0].upper == 'SAVEPOINT':
            await self._transaction.savepoint(tokens[-1].text)
        return Reply()

    async def _set(self, tokens: Sequence[Token]) -> Reply:
        autocommit = self._system_variables.assign(tokens[1:])
        if autocommit is not None:
            if autocommit and not self._transaction.is_autocommit:
                await self._transaction.commit()
            self._transaction.is_autocommit = autocommit
        return Reply()

    async def _use(self, tokens: Sequence[Token]) -> Reply:
        await self.use(''.join(token.text for token in tokens[1:]))
        return Reply()

    async def _show(self, tokens: Sequence[Token]) -> Reply:
        return show(
            tokens,
            data=self._transaction.data_connection(),
            services=self._services,
            variables=self._system_variables,
            user=None if self.is_administrator else self.username,
        )

    async def _call(self, tokens: Sequence[Token]) -> Reply:
        return await self._services.call(
            tokens,
            parameters=self._parameters,
            is_administrator=self.is_administrator,
            caller=self._connection,
        )

    async def _kill(self, tokens: Sequence[Token]) -> Reply:
        self._services.kill(tokens, is_administrator=self.is_administrator)
        return Reply()

    def _read_variable(self, name: str) -> object:
        short_name = name.rpartition('@')[2].rpartition('.')[2].lower()
        last = self._transaction.last_commit
        match short_name:
            case 'last_commit_term':
                return last.term
            case 'last_commit_position':
                return last.position
            case 'autocommit':
                return int(self._transaction.is_autocommit)
            case 'read_only' | 'super_read_only':
                return int(not self._services.is_primary)
            case 'connection_id()' if self._connection is not None:
                return self._connection.connection_id
            case 'database()' | 'schema()':
                return self.database
            case 'user()' | 'current_user()' | 'session_user()':
                return f'{self.username}@%'
        return self._system_variables.read(short_name)

    def _statement(self, sql: str) -> Statement:
        return Statement(
            sql=sql,
            now_us=int(time.time() * _MICROSECONDS_PER_S),
            seed=random.getrandbits(_SEED_BITS),
        )

    def _without_schema(self, tokens: Sequence[Token]) -> Sequence[Token]:
        """Remove the schema's name from qualified table names."""
        kept: list[Token] = []
        self._is_qualified = False
        for token in tokens:
            is_dot = token.upper == '.' and len(kept) > 1
            if is_dot and kept[-1].text == self.schema:
                kept.pop()
                self._is_qualified = True
                continue
            kept.append(token)
        return kept

    def _check_schema(self) -> None:
        if not self.database and not self._is_qualified:
            raise MemberError(1046, 'No database selected')
