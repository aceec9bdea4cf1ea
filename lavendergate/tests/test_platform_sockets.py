"""Tests of the platform's protocols over sockets."""

import asyncio
import unittest
from functools import partial

import anyio
import msgspec
from anyio.abc import TaskGroup

from lavendergate.backends.sessions import (
    AnswerLostError,
    MemberRefusedError,
    MemberUnreachableError,
)
from lavendergate.core.fleet_directory import MemberEntry
from lavendergate.core.routes import RoutesVersion
from lavendergate.core.sessions.statements import (
    Completed,
    MemberReport,
    PauseReplication,
    Read,
    RefusalCode,
    Refused,
    ReportStatus,
    SessionAnswer,
    Write,
)
from lavendergate.core.types import GroupId, Term, UpstreamId
from lavendergate.frontend.caller_channel import (
    CallerChannel,
    CallerDisconnectedError,
    CallerRequest,
)
from lavendergate.platform.callers import serve_callers
from lavendergate.platform.control_calls import ControlCalls, ControlHttp
from lavendergate.platform.members import LineMemberDialer
from lavendergate.platform.readiness import serve_readiness
from lavendergate.rpc.http import (
    HttpRequest,
    call_http,
)
from lavendergate.tests.socket_fixture import (
    free_address,
    make_boundary,
    run_scenario,
)
from standin.line_member import serve_member
from standin.session_group import GroupDialer, SessionGroup


async def start_member(
    tasks: TaskGroup, group: SessionGroup, name: str
) -> MemberEntry:
    """Serve a member on a socket and return its entry."""
    member = group.member(name)
    address: str = await tasks.start(
        serve_member, GroupDialer(groups=(group,)), member
    )
    return msgspec.structs.replace(member.entry, address=address)


def dialer() -> LineMemberDialer:
    """Return a dialer of a proxy."""
    return LineMemberDialer(host='proxy-1', timeout_s=2)


class MemberConnectionTest(unittest.TestCase):
    """Connections to members."""

    def test_statements_and_reports_cross_the_wire(self) -> None:
        """Guards against an answer that is read incompletely."""

        async def scenario(tasks: TaskGroup) -> None:
            group = SessionGroup(names=('a', 'b'))
            entry = await start_member(tasks, group, 'a')
            session, position = await dialer().dial(entry)
            self.assertIsNotNone(position)
            await session.run(Write(item='x', content='a b'), request_id='1')
            answer = await session.run(Read(item='x'), request_id='2')
            self.assertEqual(answer.rows, ('a b',))
            assert isinstance(answer.outcome, Completed)
            self.assertTrue(answer.outcome.signature)
            report = await session.request_report(ReportStatus())
            assert isinstance(report, MemberReport)
            self.assertTrue(report.is_primary)
            self.assertEqual(report.received, group.member('a').received)
            await session.close()

        run_scenario(scenario)

    def test_pause_is_reported_by_the_replica(self) -> None:
        """Guards against a pause that is assumed before it is reported."""

        async def scenario(tasks: TaskGroup) -> None:
            group = SessionGroup(names=('a', 'b'))
            entry = await start_member(tasks, group, 'b')
            session, _ = await dialer().dial(entry)
            report = await session.request_report(
                PauseReplication(term=Term(2))
            )
            assert isinstance(report, MemberReport)
            self.assertEqual(report.paused_term, 2)
            await session.close()

        run_scenario(scenario)

    def test_end_of_a_member_is_noticed_between_requests(self) -> None:
        """Guards against an end that only the next request shows."""

        async def scenario(tasks: TaskGroup) -> None:
            async def serve(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                await reader.readline()
                writer.write(b'READY I -\r\n')
                await ended.wait()
                writer.close()

            ended = asyncio.Event()
            address = free_address()
            ip, _, port = address.rpartition(':')
            server = await asyncio.start_server(serve, ip, int(port))
            entry = msgspec.structs.replace(
                SessionGroup(names=('a',)).member('a').entry, address=address
            )
            session, _ = await dialer().dial(entry)
            with anyio.move_on_after(0.05) as scope:
                await session.wait_until_lost()
            self.assertTrue(scope.cancelled_caught)
            ended.set()
            with anyio.fail_after(5):
                await session.wait_until_lost()
            await session.close()
            server.close()

        run_scenario(scenario)

    def test_request_after_an_interrupted_watch_is_answered(self) -> None:
        """Guards against an answer whose begin a watch has read."""

        async def scenario(tasks: TaskGroup) -> None:
            group = SessionGroup(names=('a',))
            entry = await start_member(tasks, group, 'a')
            session, _ = await dialer().dial(entry)
            for _ in range(20):
                with anyio.move_on_after(0.001):
                    await session.wait_until_lost()
                report = await session.request_report(ReportStatus())
                self.assertIsInstance(report, MemberReport)
            await session.close()

        run_scenario(scenario)

    def test_entry_without_a_usable_address_is_unreachable(self) -> None:
        """Guards against an odd entry of an earlier build that ends a proxy."""

        async def scenario(tasks: TaskGroup) -> None:
            entry = SessionGroup(names=('a', 'b')).member('a').entry
            for address in (
                '127.0.0.1:70000',
                '127.0.0.1:99999999999999999999999',
                '127.0.0.1:-1',
                '127.0.0.1:²',
                '127.0.0.1:',
                'localhost:8080',
                '\x00:80',
                'a' * 300 + ':80',
                '',
            ):
                odd = msgspec.structs.replace(entry, address=address)
                with self.assertRaises(MemberUnreachableError):
                    await dialer().dial(odd)
            odd = msgspec.structs.replace(
                await start_member(tasks, SessionGroup(names=('a', 'b')), 'a'),
                service=GroupId('\ud800'),
            )
            with self.assertRaises(MemberUnreachableError):
                await dialer().dial(odd)

        run_scenario(scenario)

    def test_address_of_another_member_is_refused(self) -> None:
        """Guards against a statement that runs on the wrong member.

        An address may have been reassigned to another member.
        """

        async def scenario(tasks: TaskGroup) -> None:
            group = SessionGroup(names=('a', 'b'))
            entry = await start_member(tasks, group, 'a')
            stale = msgspec.structs.replace(
                entry, upstream_id=UpstreamId('gone')
            )
            with self.assertRaises(MemberRefusedError) as raised:
                await dialer().dial(stale)
            code = raised.exception.refusal.code
            self.assertEqual(code, RefusalCode.misrouted)

        run_scenario(scenario)

    def test_lost_answer_and_closed_port_are_told_apart(self) -> None:
        """Guards against reporting a statement that was sent as `not run`."""

        async def scenario(tasks: TaskGroup) -> None:
            group = SessionGroup(names=('a', 'b'))
            entry = await start_member(tasks, group, 'a')
            group.member('a').lost_answers = 1
            session, _ = await dialer().dial(entry)
            with self.assertRaises(AnswerLostError):
                await session.run(Write(item='x', content='1'))
            closed = msgspec.structs.replace(entry, address=free_address())
            with self.assertRaises(MemberUnreachableError):
                await dialer().dial(closed)

        run_scenario(scenario)


async def echo(channel: CallerChannel) -> None:
    """Answer each statement with the name of its type."""
    start = await channel.receive_start()
    if start is None or start.database != 'known':
        await channel.refuse(Refused(code=RefusalCode.no_database))
        return
    await channel.accept()
    while True:
        try:
            received = await channel.receive()
        except CallerDisconnectedError:
            return
        if not isinstance(received, CallerRequest):
            return
        name = type(received.statement).__name__
        await channel.answer(SessionAnswer(outcome=Completed(), rows=(name,)))


class CallerConnectionTest(unittest.TestCase):
    """Connections of callers."""

    def test_session_is_served_from_start_to_end(self) -> None:
        """Guards against answers that violate the protocol."""

        async def scenario(tasks: TaskGroup) -> None:
            address = free_address()
            await tasks.start(
                partial(serve_callers, address, echo, boundary=make_boundary())
            )
            reader, writer = await asyncio.open_connection(*address.split(':'))
            writer.write(b'START known u1\r\nQUERY 1 READ x\r\n')
            writer.write(b'QUERY 2 \xc3\xa4 ?\r\nBYE\r\n')
            lines = (await reader.read()).decode().splitlines()
            self.assertEqual(
                lines,
                [
                    'READY I -',
                    'ROW Read',
                    'DONE -',
                    'READY I -',
                    'ROW NoneType',
                    'DONE -',
                    'READY I -',
                ],
            )
            writer.close()

        run_scenario(scenario)

    def test_refused_session_and_foreign_bytes_end_alone(self) -> None:
        """Guards against a caller whose input stops the listener."""

        async def scenario(tasks: TaskGroup) -> None:
            address = free_address()
            await tasks.start(
                partial(serve_callers, address, echo, boundary=make_boundary())
            )
            for sent, expected in (
                (b'START other u1\r\n', b'ERR NODB -\r\n'),
                (b'\xff\xfe\r\n', b''),
                (b'GET / HTTP/1.1\r\n', b'ERR NODB -\r\n'),
            ):
                reader, writer = await asyncio.open_connection(
                    *address.split(':')
                )
                writer.write(sent)
                self.assertEqual(await reader.read(), expected)
                writer.close()

        run_scenario(scenario)


class RecordingCalls(ControlCalls):
    """Records the calls of members and operators."""

    def __init__(self) -> None:
        self.entries: list[MemberEntry] = []
        self.removed: list[tuple[UpstreamId, int | None]] = []
        self.content: bytes | None = None
        self.is_confirmed = True

    async def announce(self, entry: MemberEntry) -> bool:
        self.entries.append(entry)
        return self.is_confirmed

    async def remove_member(
        self, upstream_id: UpstreamId, born: int | None
    ) -> bool:
        self.removed.append((upstream_id, born))
        return self.is_confirmed

    async def publish_routes(
        self, version: RoutesVersion, content: bytes
    ) -> bool:
        self.content = content
        return self.is_confirmed

    async def read_routes(self) -> bytes | None:
        return self.content if self.is_confirmed else None


class ControlCallsTest(unittest.TestCase):
    """Calls of members and operators."""

    def test_calls_are_answered_with_the_right_status(self) -> None:
        """Guards against a status that stops clients from retrying.

        A call that is not confirmed by a majority has to be answered with
        503, not with a final error.
        """

        async def scenario(tasks: TaskGroup) -> None:
            calls = RecordingCalls()
            handle = ControlHttp(calls=calls).handle
            announcement = (
                b'{"service":"s","address":"10.0.0.1:80","zone":"z",'
                b'"version":"v1","capacity":2,"state":"ready",'
                b'"warmupLeftMs":0,"dbRole":"replica","sequence":1,"born":1}'
            )
            table = b'{"version":3,"routes":[],"services":[]}'
            cases = (
                ('PUT', '/instances/i-1', announcement, 200, 503),
                ('PUT', '/instances/i-1', b'{}', 400, 400),
                ('PUT', '/instances/', announcement, 400, 400),
                ('PUT', '/instances/i%FF', announcement, 400, 400),
                ('PUT', '/instances/i%20%0D%0A', announcement, 400, 400),
                (
                    'PUT',
                    f'/instances/{"i" * 3000}',
                    announcement,
                    400,
                    400,
                ),
                ('DELETE', '/instances/i%FF', b'', 400, 400),
                ('DELETE', '/instances/i-1', b'', 200, 503),
                ('PUT', '/config', table, 200, 503),
                ('PUT', '/config', b'{"version":', 400, 400),
                ('GET', '/config', b'', 200, 503),
                ('GET', '/other', b'', 404, 404),
            )
            for method, path, body, confirmed, unconfirmed in cases:
                request = HttpRequest(method=method, path=path, body=body)
                for calls.is_confirmed, expected in (
                    (True, confirmed),
                    (False, unconfirmed),
                ):
                    response = await handle(request)
                    self.assertEqual(response.status, expected, request)
            self.assertEqual(calls.content, table)

        run_scenario(scenario)

    def test_last_call_of_a_member_names_its_start(self) -> None:
        """Guards against a late call that removes the next start."""

        async def scenario(tasks: TaskGroup) -> None:
            calls = RecordingCalls()
            for body, born in (
                (b'{"born":1700000000000,"sequence":4}', 1700000000000),
                (b'', None),
                (b'{}', None),
                (b'{"born":"x"}', None),
                (b'{"born":1.5}', None),
                (b'{"born":-4}', None),
                (b'{"born":' + b'9' * 21 + b'}', None),
                (b'[' * 3000, None),
                (b'\xff', None),
            ):
                await ControlHttp(calls=calls).handle(
                    HttpRequest(
                        method='DELETE', path='/instances/i-1', body=body
                    )
                )
                self.assertEqual(calls.removed.pop(), ('i-1', born), body)

        run_scenario(scenario)


class ReadinessTest(unittest.TestCase):
    """The readiness check."""

    def test_answer_follows_the_state_of_the_host(self) -> None:
        """Guards against callers that are sent to a host during shutdown."""
        ready = [True, False]

        async def scenario(tasks: TaskGroup) -> None:
            address = free_address()
            await tasks.start(
                partial(
                    serve_readiness,
                    address,
                    ready.pop,
                    boundary=make_boundary(),
                )
            )
            statuses = [
                (
                    await call_http(
                        address,
                        HttpRequest(method='GET', path='/ready'),
                        headers={},
                        timeout_s=2,
                    )
                ).status
                for _ in range(2)
            ]
            self.assertEqual(statuses, [503, 200])

        run_scenario(scenario)
