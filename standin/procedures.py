"""Stored procedures of a member."""

from collections.abc import Awaitable, Callable, Sequence
from typing import TYPE_CHECKING, Any

from lavendergate.core.types import LogPosition, Term
from standin.errors import MemberError
from standin.fault_commands import FaultCommands
from standin.group import GroupMember
from standin.replication_client import PrimaryAddress, ReplicationClient
from standin.replies import Reply, table_reply
from standin.services import require_administrator
from standin.tokens import Token, syntax_error

if TYPE_CHECKING:
    from standin.connection import MemberConnection

Procedure = Callable[..., Awaitable[Reply]]
_ProcedureTable = dict[str, tuple[Procedure, tuple[type, ...]]]

_MS_PER_S = 1000
_STATUS_COLUMNS = (
    'group_id',
    'upstream_id',
    'promised_term',
    'log_term',
    'log_position',
    'role',
    'primary_contact_ms',
    'applied_age_ms',
    'connections',
)


class Procedures:
    """Stored procedures of the group protocol and ``standin_fault``.

    Parameters
    ----------
    group_id, upstream_id
        Identity of the member.
    member
        State that the procedures read and change.
    replication_client
        Replication from the primary.
    fault_commands
        Carries out ``standin_fault``.
    """

    def __init__(
        self,
        *,
        group_id: str,
        upstream_id: str,
        member: GroupMember,
        replication_client: ReplicationClient,
        fault_commands: FaultCommands,
    ) -> None:
        self._group_id = group_id
        self._upstream_id = upstream_id
        self._member = member
        self._replication_client = replication_client
        self._fault_commands = fault_commands
        self._caller_procedures: _ProcedureTable = {
            'group_status': (self._status, ()),
            'group_wait': (self._wait, (int, int, int)),
        }
        self._administrator_procedures: _ProcedureTable = {
            'group_fence': (self._fence, (int,)),
            'group_promote': (self._promote, (int,)),
            'group_follow': (self._follow, (int, str, int)),
        }

    async def call(
        self,
        tokens: Sequence[Token],
        *,
        parameters: Sequence[Any],
        is_administrator: bool,
        caller: 'MemberConnection | None',
    ) -> Reply:
        """Execute a ``CALL``.

        Raises
        ------
        MemberError
            If the procedure does not exist, an argument is wrong, or the
            member refuses the call.
        """
        if len(tokens) < 2:
            raise syntax_error('')
        name = tokens[1].text.lower()
        arguments = _read_arguments(tokens[2:], parameters)
        if name == 'standin_fault':
            require_administrator(is_administrator)
            return self._fault_commands.set_fault(arguments, caller=caller)
        if name in self._caller_procedures:
            procedure, types = self._caller_procedures[name]
        elif name in self._administrator_procedures:
            require_administrator(is_administrator)
            procedure, types = self._administrator_procedures[name]
        else:
            raise MemberError(1305, f'PROCEDURE {name} does not exist')
        return await procedure(*_check_arguments(name, arguments, types))

    async def _status(self) -> Reply:
        return table_reply(_STATUS_COLUMNS, (self._status_row(),))

    async def _fence(self, term: int) -> Reply:
        self._member.fence(term)
        return await self._status()

    async def _promote(self, term: int) -> Reply:
        self._member.promote(term)
        return await self._status()

    async def _follow(self, term: int, host: str, port: int) -> Reply:
        truncated = await self._replication_client.follow(
            PrimaryAddress(term=term, host=host, port=port)
        )
        return table_reply(
            (*_STATUS_COLUMNS, 'truncated_entries'),
            ((*self._status_row(), truncated),),
        )

    async def _wait(self, term: int, position: int, timeout_ms: int) -> Reply:
        is_held = await self._member.wait_for_entry(
            LogPosition(term=Term(term), position=position),
            timeout_ms / _MS_PER_S,
        )
        last = self._member.last_entry()
        return table_reply(
            ('held', 'promised_term', 'log_term', 'log_position'),
            (
                (
                    int(is_held),
                    self._member.promised_term,
                    last.term,
                    last.position,
                ),
            ),
        )

    def _status_row(self) -> tuple[Any, ...]:
        status = self._member.status()
        return (
            self._group_id,
            self._upstream_id,
            status.promised_term,
            status.last_entry.term,
            status.last_entry.position,
            status.role.value,
            status.primary_contact_ms,
            status.applied_age_ms,
            status.connections,
        )


def _read_arguments(
    tokens: Sequence[Token], parameters: Sequence[Any]
) -> list[Any]:
    values: list[Any] = []
    remaining = iter(parameters)
    for token in tokens:
        match token.kind:
            case 'number':
                values.append(
                    float(token.text) if '.' in token.text else int(token.text)
                )
            case 'string':
                values.append(token.text)
            case 'mark':
                values.append(next(remaining, None))
            case 'symbol' if token.text in {'(', ')', ','}:
                continue
            case _:
                raise syntax_error(token.text)
    return values


def _check_arguments(
    name: str, arguments: Sequence[Any], types: Sequence[type]
) -> list[Any]:
    if len(arguments) != len(types):
        raise MemberError(
            1318,
            f'Incorrect number of arguments for PROCEDURE {name}; '
            f'expected {len(types)}, got {len(arguments)}',
        )
    try:
        return [
            convert(value)
            for convert, value in zip(types, arguments, strict=True)
        ]
    except (TypeError, ValueError) as error:
        raise MemberError(
            1318, f'Incorrect argument for PROCEDURE {name}: {error}'
        ) from error
