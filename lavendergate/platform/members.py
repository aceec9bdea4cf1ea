"""Client side of the platform's statement protocol, for members."""

import anyio

from lavendergate.backends.sessions import (
    AnswerLostError,
    MemberAbsentError,
    MemberDialer,
    MemberRefusedError,
    MemberSession,
    MemberUnreachableError,
    ReportRequest,
)
from lavendergate.core.bounds.addresses import split_address
from lavendergate.core.errors import quoted
from lavendergate.core.fleet_directory import MemberEntry
from lavendergate.core.sessions.context import (
    SYSTEM_CONTEXT,
    StatementContext,
)
from lavendergate.core.sessions.statements import (
    Completed,
    MemberReport,
    Outcome,
    Refused,
    SessionAnswer,
    Statement,
)
from lavendergate.core.types import LogPosition
from lavendergate.platform.line_codec import (
    EMPTY_FIELD,
    LINE_END,
    LineError,
    encode_query,
    parse_ready,
    parse_refusal,
    parse_report,
)
from lavendergate.platform.line_stream import (
    LOST_CONNECTION_ERRORS,
    LOST_OR_TIMEOUT_ERRORS,
    LineStream,
)


class LineMemberSession(MemberSession):
    """A connection to a member in the line-based statement protocol.

    Parameters
    ----------
    stream
        Line stream on which the member has confirmed the START line.
    """

    def __init__(self, *, stream: LineStream) -> None:
        self._stream = stream

    async def run(
        self,
        statement: Statement,
        *,
        request_id: str | None = None,
        after: LogPosition | None = None,
    ) -> SessionAnswer:
        """Run a statement; see the base class."""
        try:
            await self._stream.write(encode_query(statement, request_id, after))
            return await self._read_answer()
        except LOST_CONNECTION_ERRORS as error:
            raise AnswerLostError(
                f'connection lost before the answer was complete: {error!r}'
            ) from error

    async def request_report(
        self, request: ReportRequest
    ) -> MemberReport | Refused:
        """Request a report; see the base class."""
        answer = await self.run(request)
        if isinstance(answer.outcome, Refused):
            return answer.outcome
        try:
            return parse_report(answer.rows[0] if answer.rows else '')
        except LineError as error:
            raise AnswerLostError(str(error)) from error

    async def wait_until_lost(self) -> None:
        """Wait until the connection is lost; see the base class."""
        try:
            await self._stream.wait_for_input()
        except LOST_CONNECTION_ERRORS:
            # Its end is what is waited for. Input that nobody has asked for
            # makes the connection as useless.
            return

    async def close(self) -> None:
        """Close the connection."""
        await self._stream.close()

    async def _read_answer(self) -> SessionAnswer:
        rows: list[str] = []
        outcome: Outcome | None = None
        while True:
            word, rest = await self._stream.read()
            match word:
                case 'ROW':
                    rows.append(rest)
                case 'DONE':
                    signature = None if rest == EMPTY_FIELD else rest
                    outcome = Completed(signature=signature)
                case 'ERR':
                    outcome = parse_refusal(rest)
                case 'READY' if outcome is not None:
                    phase, position = parse_ready(rest)
                    return SessionAnswer(
                        outcome=outcome,
                        phase=phase,
                        rows=tuple(rows),
                        position=position,
                    )
                case _:
                    raise LineError(
                        f"unexpected line {quoted(word)} in a member's answer"
                    )


class LineMemberDialer(MemberDialer):
    """Opens connections to members.

    Parameters
    ----------
    host
        Name by which members know the connections of this host that serve no
        customer.
    timeout_s
        Time limit for opening a connection, in seconds.
    """

    def __init__(self, *, host: str, timeout_s: float) -> None:
        self._host = host
        self._timeout_s = timeout_s

    async def dial(
        self,
        member: MemberEntry,
        context: StatementContext = SYSTEM_CONTEXT,
    ) -> tuple[MemberSession, LogPosition | None]:
        """Open a connection; see the base class."""
        try:
            with anyio.fail_after(self._timeout_s):
                return await self._open(member, context)
        except LOST_OR_TIMEOUT_ERRORS as error:
            kind = (
                MemberAbsentError
                if _is_connection_refused(error)
                else MemberUnreachableError
            )
            raise kind(
                f'no connection to {member.upstream_id} at '
                f'{member.address}: {error!r}'
            ) from error

    async def _open(
        self, member: MemberEntry, context: StatementContext
    ) -> tuple[MemberSession, LogPosition | None]:
        ip, port = split_address(member.address)
        stream = LineStream(stream=await anyio.connect_tcp(ip, port))
        try:
            return await self._start(stream, member, context)
        except BaseException:
            await stream.close()
            raise

    async def _start(
        self,
        stream: LineStream,
        member: MemberEntry,
        context: StatementContext,
    ) -> tuple[MemberSession, LogPosition | None]:
        # The address may have been reassigned to another member. The id is
        # sent so that such a member refuses the connection.
        name = context.customer or self._host
        start_line = f'START {member.service} {name} {member.upstream_id}'
        await stream.write(start_line.encode() + LINE_END)
        word, rest = await stream.read()
        if word == 'ERR':
            raise MemberRefusedError(refusal=parse_refusal(rest))
        if word != 'READY':
            raise LineError(
                f'unexpected line {quoted(word)} in answer to START'
            )
        _, position = parse_ready(rest)
        return LineMemberSession(stream=stream), position


def _is_connection_refused(error: BaseException) -> bool:
    """Return whether no process listens at the address."""
    return isinstance(error, ConnectionRefusedError) or isinstance(
        error.__cause__, ConnectionRefusedError
    )
