"""Serves an in-memory member over the platform's statement protocol."""

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskStatus
from anyio.streams.buffered import BufferedByteReceiveStream

from lavendergate.backends.sessions import AnswerLostError, MemberRefusedError
from lavendergate.core.sessions.statements import (
    MemberReport,
    PauseReplication,
    ReportStatus,
    ResetSession,
    ResumeReplication,
    Statement,
)
from lavendergate.core.types import LogPosition, Term
from lavendergate.platform.line_codec import (
    LINE_END,
    encode_answer,
    encode_position,
    encode_refusal,
    parse_position,
    parse_statement,
)
from standin.session_group import GroupDialer, GroupSession, Member

_MAX_LINE = 65_536


async def serve_member(
    dialer: GroupDialer,
    member: Member,
    *,
    task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve a member on a free port of the loopback interface.

    Parameters
    ----------
    dialer
        Opens sessions of the member's group.
    member
        The member.
    task_status
        Receives the address, ``ip:port``, once the listener accepts
        connections.
    """

    async def serve(stream: SocketStream) -> None:
        async with stream:
            try:
                await _LineConnection(stream, dialer, member).run()
            except (anyio.EndOfStream, anyio.IncompleteRead, OSError):
                return

    listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
    port = listener.extra(SocketAttribute.local_port)
    task_status.started(f'127.0.0.1:{port}')
    await listener.serve(serve)


class _LineConnection:
    def __init__(
        self, stream: SocketStream, dialer: GroupDialer, member: Member
    ) -> None:
        self._stream = stream
        self._buffer = BufferedByteReceiveStream(stream)
        self._dialer = dialer
        self._member = member

    async def run(self) -> None:
        """Serve the connection until either side closes it."""
        verb, service, _, upstream_id = (await self._read_line()).split(' ')
        entry = self._member.entry
        if (verb, service, upstream_id) != (
            'START',
            entry.service,
            entry.upstream_id,
        ):
            await self._stream.send(b'ERR MISROUTED other member\r\n')
            return
        try:
            session, position = await self._dialer.dial(entry)
        except MemberRefusedError as error:
            await self._stream.send(encode_refusal(error.refusal))
            return
        assert isinstance(session, GroupSession)
        await self._stream.send(
            f'READY I {encode_position(position)}\r\n'.encode()
        )
        try:
            while True:
                await self._answer(session, await self._read_line())
        except AnswerLostError:
            return
        finally:
            await session.close()

    async def _answer(self, session: GroupSession, line: str) -> None:
        _, request_id, text = line.split(' ', 2)
        after: LogPosition | None = None
        if text.startswith('AFTER '):
            _, position, text = text.split(' ', 2)
            after = parse_position(position)
        protocol_statement = _parse_protocol_statement(text)
        if isinstance(protocol_statement, ResetSession):
            answer = await session.run(protocol_statement)
        elif protocol_statement is not None:
            await self._send_report(
                await session.request_report(protocol_statement)  # type: ignore[arg-type]
            )
            return
        else:
            statement = parse_statement(text)
            assert statement is not None, text
            answer = await session.run(
                statement, request_id=request_id, after=after
            )
        await self._stream.send(encode_answer(answer))

    async def _send_report(self, report: MemberReport) -> None:
        role = 'primary' if report.is_primary else 'replica'
        received = encode_position(report.received)
        row = (
            f'{role} {report.term} {received} {report.paused_term} '
            f'{report.lag_ms} {report.busy} {report.connections}'
        )
        await self._stream.send(
            f'ROW {row}\r\nDONE -\r\nREADY I {received}\r\n'.encode()
        )

    async def _read_line(self) -> str:
        line = await self._buffer.receive_until(LINE_END, _MAX_LINE)
        return line.decode()


def _parse_protocol_statement(text: str) -> Statement | None:
    verb, _, argument = text.partition(' ')
    match verb:
        case 'STATUS':
            return ReportStatus()
        case 'RESET':
            return ResetSession()
        case 'PAUSE':
            return PauseReplication(term=Term(int(argument)))
        case 'RESUME':
            return ResumeReplication()
        case _:
            return None
