"""Tests of the platform's formats."""

import json
import os
import tempfile
import unittest
import zlib
from pathlib import Path
from unittest import mock

from hypothesis import example, given, settings
from hypothesis import strategies as st
from result import Err, Ok

from lavendergate.core.control_routes import pack_routes
from lavendergate.core.fleet_directory import MemberAvailability
from lavendergate.core.routes import Consistency
from lavendergate.core.sessions.statements import (
    Completed,
    Phase,
    Read,
    RefusalCode,
    Refused,
    SessionAnswer,
)
from lavendergate.core.types import LogPosition, Term
from lavendergate.platform.documents import (
    decode_accepted_routes,
    decode_announcement,
    decode_routes,
)
from lavendergate.platform.line_codec import (
    LineError,
    encode_answer,
    encode_query,
    encode_statement,
    parse_position,
    parse_ready,
    parse_refusal,
    parse_report,
    parse_request,
    parse_statement,
)
from lavendergate.platform.settings_file import (
    SETTINGS_VARIABLE,
    SettingsFileError,
    load_settings,
)

STATEMENTS = (
    'BEGIN',
    'BEGIN READ',
    'COMMIT',
    'ROLLBACK',
    'READ 1a4',
    'WRITE 1a4 some data  with blanks',
    'SET name value',
    'PREPARE s1 WRITE q2c',
    'EXEC s1 1a4',
    'EXEC s1 1a4 xkqpwnzd',
    'FORGET s1',
)
ROUTE = {
    'name': 'r1',
    'database': 'd1',
    'pathPrefix': '/',
    'routeType': 'bounded_staleness',
    'timeoutMs': 800,
    'targetLatencyMs': 600,
    'priority': 1,
    'service': 's1',
    'attempts': 2,
    'maxStalenessMs': 1500,
}
DOCUMENT = {
    'version': 7,
    'routes': [ROUTE],
    'services': [{'name': 's1', 'maxConns': 16, 'syncReplicas': 1}],
    'limits': {'txnIdleMs': 2000},
}
ANNOUNCEMENT = {
    'service': 's1',
    'address': '10.0.0.1:80',
    'zone': 'z',
    'version': 'v1',
    'capacity': 3,
    'state': 'ready',
    'warmupLeftMs': 0,
    'dbRole': 'replica',
    'sequence': 4,
    'born': 1700000000000,
}
SETTINGS = """
nodeName = "edge-1"
ip = "10.1.0.8"
zone = "z1"
region = "r1"
internalPorts = [7440, 7455]
seeds = ["10.1.0.11:8782", "10.2.0.8:8782"]
bootstrap = true
unknownField = 1
[bindAddrs]
front = "10.1.0.8:8784"
[bounds]
graceS = 6
requireFencing = true
[cloudApi]
address = "10.200.0.160:8783"
dutyPerS = 50.0
"""


def routes(**changes: object) -> bytes:
    """Return a document with changed fields."""
    return json.dumps(DOCUMENT | changes).encode()


class LineCodecTest(unittest.TestCase):
    """Codec of the statement protocol."""

    def test_statements_are_written_as_they_were_read(self) -> None:
        """Guards against a statement that is run with changed text."""
        for text in STATEMENTS:
            statement = parse_statement(text)
            assert statement is not None, text
            self.assertEqual(encode_statement(statement), text)

    @given(text=st.text())
    @example(text='READ')
    @example(text='BEGIN  READ')
    @example(text='EXEC s1  x')
    @example(text='COMMIT now')
    @example(text='AFTER 1.2 READ x')
    @example(text='STATUS')
    @settings(derandomize=True)
    def test_any_text_is_read_unchanged_or_not_at_all(self, text: str) -> None:
        """Guards against caller input that raises an unexpected error."""
        statement = parse_statement(text)
        if statement is not None:
            self.assertEqual(encode_statement(statement), text)

    @given(text=st.text())
    @settings(derandomize=True)
    def test_any_line_of_a_member_is_read_or_refused(self, text: str) -> None:
        """Guards against member output that raises an unexpected error."""
        parse_refusal(text)
        for parse in (parse_position, parse_ready, parse_report):
            try:
                parse(text)
            except LineError:
                continue

    def test_odd_numbers_of_a_member_are_refused(self) -> None:
        """Guards against an answer whose numbers end the process."""
        huge = '9' * 5000
        wide = str(1 << 63)
        for number in ('', huge, wide, '-1', '²', '٣', '1e5', 'nan', '1_0'):
            with self.subTest(number=number[:30]):
                for text in (f'{number}.7', f'7.{number}'):
                    with self.assertRaises(LineError):
                        parse_position(text)
                for fields in (
                    f'{number} 3.1 0 12 2 17',
                    f'3 3.1 {number} 12 2 17',
                    f'3 3.1 0 {number} 2 17',
                    f'3 3.1 0 12 {number} 17',
                    f'3 3.1 0 12 2 {number}',
                ):
                    with self.assertRaises(LineError) as raised:
                        parse_report(f'replica {fields}')
                    self.assertLess(len(str(raised.exception)), 300)

    def test_numbers_with_decimals_are_read(self) -> None:
        """Guards against a valid status row that is refused."""
        report = parse_report('primary 3 3.1209 0 12.7 2. .5')
        self.assertEqual(report.lag_ms, 12)
        self.assertEqual((report.busy, report.connections), (2, 0))
        largest = (1 << 63) - 1
        self.assertEqual(
            parse_position(f'0.{largest}'),
            LogPosition(term=Term(0), position=largest),
        )

    def test_odd_id_of_a_caller_names_no_statement(self) -> None:
        """Guards against a caller's statement that runs as the system's."""
        for request_id in ('', 'i' * 100_000, 'a\x00b', 'a\nb'):
            parsed, statement = parse_request(f'{request_id} READ 1a4')
            self.assertIsNone(statement)
            self.assertLessEqual(len(parsed), 255)
        self.assertEqual(
            parse_request('id1 READ 1a4'), ('id1', Read(item='1a4'))
        )

    def test_unknown_code_promises_nothing(self) -> None:
        """Guards against conclusions that the member's code does not allow."""
        refusal = parse_refusal('STRANGE text')
        self.assertEqual(refusal.code, RefusalCode.failed)

    def test_report_names_the_pause_and_the_received_position(self) -> None:
        """Guards against status fields that are mixed up."""
        report = parse_report('replica 3 3.1209 4 12 2 17')
        self.assertFalse(report.is_primary)
        self.assertEqual(report.term, 3)
        self.assertEqual(report.paused_term, 4)
        self.assertEqual(report.received.position, 1209)
        self.assertEqual(report.connections, 17)

    def test_query_carries_the_position_to_wait_for(self) -> None:
        """Guards against a read without its required log position."""
        statement = parse_statement('READ 1a4')
        assert statement is not None
        position = LogPosition(term=Term(3), position=7)
        self.assertEqual(
            encode_query(statement, 'id1', position),
            b'QUERY id1 AFTER 3.7 READ 1a4\r\n',
        )
        self.assertEqual(
            encode_query(statement, None, None), b'QUERY - READ 1a4\r\n'
        )

    def test_answers_end_with_the_state_of_the_session(self) -> None:
        """Guards against a caller that waits forever for the READY line."""
        done = SessionAnswer(outcome=Completed(signature='sig'), rows=('row',))
        self.assertEqual(
            encode_answer(done), b'ROW row\r\nDONE sig\r\nREADY I -\r\n'
        )
        refused = SessionAnswer(
            outcome=Refused(code=RefusalCode.aborted, text='why'),
            phase=Phase.failed,
        )
        self.assertEqual(
            encode_answer(refused), b'ERR ABORTED why\r\nREADY E -\r\n'
        )


class DocumentTest(unittest.TestCase):
    """Documents of operators and announcements of members."""

    def test_document_becomes_a_route_table(self) -> None:
        """Guards against document fields that are mixed up."""
        decoded = decode_routes(routes())
        assert isinstance(decoded, Ok)
        table = decoded.ok_value
        route = table.routes['d1']
        self.assertEqual(table.version, 7)
        self.assertEqual(route.consistency, Consistency.bounded_staleness)
        self.assertEqual(route.max_staleness_ms, 1500)
        self.assertEqual(table.transaction_idle_ms, 2000)
        (limits,) = table.services.values()
        self.assertEqual(limits.synchronous_replicas, 1)

    def test_invalid_documents_are_refused(self) -> None:
        """Guards against an invalid document that takes effect."""
        invalid = (
            routes()[:-9],
            routes(routes=[ROUTE | {'service': 'other'}]),
            routes(routes=[ROUTE, ROUTE | {'name': 'r2'}]),
            routes(routes=[ROUTE | {'timeoutMs': 0}]),
            routes(version='7'),
            b'',
            b'[]',
            b'\xff\xfe',
        )
        for content in invalid:
            self.assertIsInstance(decode_routes(content), Err, content)

    def test_announcement_becomes_an_entry(self) -> None:
        """Guards against announcement fields that are mixed up."""
        decoded = decode_announcement('i-1', json.dumps(ANNOUNCEMENT).encode())
        assert isinstance(decoded, Ok)
        entry = decoded.ok_value
        self.assertEqual(entry.availability, MemberAvailability.ready)
        self.assertEqual((entry.born, entry.sequence), (1700000000000, 4))
        self.assertEqual(entry.slots, 3)

    def test_foreign_announcements_name_no_member(self) -> None:
        """Guards against a directory entry from a malformed announcement."""
        malformed: tuple[dict[str, object], ...] = (
            ANNOUNCEMENT | {'state': 'resting'},
            ANNOUNCEMENT | {'sequence': 'x'},
            ANNOUNCEMENT | {'address': 'nowhere'},
            ANNOUNCEMENT | {'born': 1.5},
            {
                key: ANNOUNCEMENT[key]
                for key in ANNOUNCEMENT
                if key != 'service'
            },
        )
        for changed in malformed:
            decoded = decode_announcement('i-1', json.dumps(changed).encode())
            self.assertIsInstance(decoded, Err, changed)

    def test_document_that_other_hosts_cannot_read_is_refused(self) -> None:
        """Guards against an accepted document that ends each host."""
        nested = '[' * 3000 + ']' * 3000
        shallow = '[' * 60 + ']' * 60
        text = json.dumps(DOCUMENT)[:-1]
        invalid = {
            "version '1000000000000000000000' is not between": routes(
                version=10**21
            ),
            'is above 9223372036854775807': routes(version=1 << 63),
            'out of range - at `$.version`': routes().replace(
                b'"version": 7', b'"version": ' + b'7' * 5000
            ),
            'nest more than 64 levels': f'{text},"x":{nested}}}'.encode(),
            'the byte at offset ': text.encode() + b',"x":"\xff"}',
            'Expected `int` <= 9007199254740991 - at `$.routes[0].timeoutMs`': (
                routes(routes=[ROUTE | {'timeoutMs': 1 << 60}])
            ),
            'Expected `int` >= 0 - at `$.services[0].maxConns`: ': (
                routes(services=[{'name': 's1', 'maxConns': -1}])
            ),
            'a word without blanks': (
                routes(services=[{'name': 's1 x\r\nQUERY', 'maxConns': 1}])
            ),
        }
        for problem, content in invalid.items():
            with self.subTest(problem):
                decoded = decode_routes(content)
                assert isinstance(decoded, Err)
                self.assertIn(problem, decoded.err_value)
                self.assertLess(len(decoded.err_value), 400)
        brackets = json.dumps('\\"' + '[' * 3000)
        for unread in (shallow, brackets, '1e999', '"\\ud83d\\ude00"'):
            content = f'{text},"x":{unread}}}'.encode()
            self.assertIsInstance(decode_routes(content), Ok, unread)

    def test_route_table_in_force_stays_readable(self) -> None:
        """Guards against proxies that drop a table of an earlier build."""
        content = json.dumps(DOCUMENT)[:-1].encode() + b',"x":"\xff"}'
        self.assertIsInstance(decode_accepted_routes(pack_routes(content)), Ok)

    def test_damaged_route_table_is_refused(self) -> None:
        """Guards against a stored table that ends each host that reads it."""
        packed = pack_routes(routes())
        bomb = zlib.compress(b' ' * 20_000_000)
        for odd in (b'', b'x', packed[:-3], bomb, pack_routes(b'{')):
            self.assertIsInstance(decode_accepted_routes(odd), Err)

    def test_odd_announcement_is_refused_with_field_and_value(self) -> None:
        """Guards against an entry of another writer in the directory."""
        odd: tuple[tuple[str, object], ...] = (
            ('address', '127.0.0.9:70000'),
            ('address', '127.0.0.9:0'),
            ('address', '127.0.0.9:08080'),
            ('address', '127.0.0.9:٨٠٨٠'),
            ('address', '127.0.0.9:²'),
            ('address', 'localhost:8080'),
            ('address', '127.0.0.009:8080'),
            ('address', '0.0.0.0:8080'),
            ('address', '255.255.255.255:8080'),
            ('address', '[::1]:8080'),
            ('address', '10.0.0.1:80\n'),
            ('sequence', 10**21),
            ('sequence', -1),
            ('born', 10**21),
            ('born', 1 << 60),
            ('born', -5),
            ('born', None),
            ('born', 1.5),
            ('capacity', 0),
            ('capacity', -3),
            ('capacity', 10**21),
            ('capacity', 'many'),
            ('warmupLeftMs', 'x'),
            ('version', 7),
            ('zone', ''),
            ('zone', 'z' * 1_000_000),
            ('zone', 'a\x00b'),
            ('zone', None),
            ('service', 's 1'),
            ('service', ''),
            ('dbRole', 'witness'),
            ('state', 'gone'),
        )
        for field, value in odd:
            with self.subTest(field=field, value=str(value)[:20]):
                content = json.dumps(ANNOUNCEMENT | {field: value}).encode()
                decoded = decode_announcement('i-1', content)
                assert isinstance(decoded, Err)
                self.assertIn(f'$.{field}', decoded.err_value)
                self.assertLess(len(decoded.err_value), 400)

    def test_announcement_without_a_field_names_no_member(self) -> None:
        """Guards against an incomplete entry that evicts a member."""
        for missing in ANNOUNCEMENT.keys() - {'born'}:
            with self.subTest(missing):
                content = json.dumps(
                    {
                        name: value
                        for name, value in ANNOUNCEMENT.items()
                        if name != missing
                    }
                ).encode()
                self.assertIsInstance(decode_announcement('i-1', content), Err)

    def test_announcement_of_the_pages_is_accepted(self) -> None:
        """Guards against a member whose valid announcements are refused."""
        content = (
            b'{"service":"huvo11a","address":"10.128.0.9:8080",'
            b'"zone":"charlotte","version":"v1","capacity":3,"state":"ready",'
            b'"warmupLeftMs":0,"dbRole":"replica","sequence":4,"new":{}}'
        )
        self.assertIsInstance(decode_announcement('i-7f3a91c2', content), Ok)

    @given(content=st.binary())
    @settings(derandomize=True)
    def test_any_bytes_are_decoded_or_refused(self, content: bytes) -> None:
        """Guards against content that raises an unexpected error."""
        decode_routes(content)
        decode_announcement('i-1', content)


class SettingsFileTest(unittest.TestCase):
    """The settings file of a process."""

    def test_file_is_read_and_unknown_fields_are_ignored(self) -> None:
        """Guards against a start that fails because of an unknown field."""
        with tempfile.NamedTemporaryFile('w', suffix='.toml') as file:
            file.write(SETTINGS)
            file.flush()
            with mock.patch.dict(os.environ, {SETTINGS_VARIABLE: file.name}):
                host = load_settings()
        self.assertEqual(host.internal_address, '10.1.0.8:7440')
        self.assertEqual(
            host.internal_control_addresses, ('10.1.0.11:7440', '10.2.0.8:7440')
        )
        self.assertTrue(host.bootstrap)
        self.assertEqual(host.bind_addrs.front, '10.1.0.8:8784')

    def test_problems_name_the_file_and_the_field(self) -> None:
        """Guards against a start that fails without naming the cause."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'boot.toml'
            with mock.patch.dict(os.environ, {SETTINGS_VARIABLE: str(path)}):
                with self.assertRaisesRegex(SettingsFileError, 'boot.toml'):
                    load_settings()
                path.write_text('nodeName = 5')
                with self.assertRaisesRegex(SettingsFileError, 'nodeName'):
                    load_settings()

    def test_odd_values_are_named_with_their_field(self) -> None:
        """Guards against a start that fails in a traceback."""
        changes = (
            ('ip', 'ip = "10.1.0.8"', 'ip = "edge-1"'),
            ('internalPorts[0]', '[7440, 7455]', '[0, 7455]'),
            ('internalPorts[1]', '[7440, 7455]', '[7440, 74550]'),
            ('internalPorts[0]', '[7440, 7455]', '[9999999999999999999999, 1]'),
            ('seeds[1]', '10.2.0.8:8782', '10.2.0.8:87820'),
            ('bindAddrs.front', '10.1.0.8:8784', '10.1.0.8'),
            ('bounds.graceS', 'graceS = 6', 'graceS = nan'),
            ('bounds.graceS', 'graceS = 6', 'graceS = inf'),
            ('bounds.graceS', 'graceS = 6', 'graceS = -1'),
            ('bounds.graceS', 'graceS = 6', f'graceS = 1{"0" * 400}'),
            ('cloudApi.dutyPerS', '50.0', 'inf'),
            ('cloudApi.address', '10.200.0.160:8783', 'nowhere'),
            ('nodeName', 'edge-1', 'edge 1'),
            ('zone', '"z1"', '""'),
            ('recursion', 'unknownField = 1', f'x = {"[" * 3000}'),
            ('', 'unknownField = 1', 'x = "\udcff"'),
        )
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'boot.toml'
            with mock.patch.dict(os.environ, {SETTINGS_VARIABLE: str(path)}):
                for field, before, after in changes:
                    with self.subTest(field=field, after=after[:40]):
                        assert before in SETTINGS
                        content = SETTINGS.replace(before, after)
                        path.write_bytes(
                            content.encode(errors='surrogateescape')
                        )
                        with self.assertRaises(SettingsFileError) as raised:
                            load_settings()
                        self.assertIn(field, str(raised.exception))

    def test_settings_without_a_platform_api_are_read(self) -> None:
        """Guards against a valid file that is refused."""
        with tempfile.NamedTemporaryFile('w', suffix='.toml') as file:
            file.write(SETTINGS.replace('10.200.0.160:8783', ''))
            file.flush()
            with mock.patch.dict(os.environ, {SETTINGS_VARIABLE: file.name}):
                self.assertEqual(load_settings().cloud_api.address, '')
