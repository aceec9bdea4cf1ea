"""Tests of TLS for callers and of certificate renewal without a restart."""

import asyncio
import os
import ssl
import tempfile
import unittest
from pathlib import Path

import pymysql
import trustme
from result import Ok

from lavendergate.backends.base import QueryResult
from lavendergate.filters.base import StatementRequest, StatementResult
from lavendergate.frontend.server import CallerAccounts, CallerListener
from lavendergate.frontend.session import MysqlSession
from lavendergate.rpc.tls import CertificateFiles, TlsContexts

PASSWORD = 'pw'
# SHA1(SHA1('pw')), the hash of mysql_native_password.
AUTH_STRING = '*D821809F681A40A6E379B50D0463EFAE20BDD122'
# Packet 1 of a login: capabilities for protocol 4.1, TLS, secure connections
# and plugins, the largest packet, utf8mb4 and 23 zero bytes.
TLS_REQUEST = (
    b'\x20\x00\x00\x01'
    + (0x8_8A00).to_bytes(4, 'little')
    + (1 << 24).to_bytes(4, 'little')
    + b'\x2d'
    + bytes(23)
)


async def answer(request: StatementRequest) -> StatementResult:
    """Answer each statement with one affected row."""
    return Ok(QueryResult(rows=[], affected_rows=1))


class TlsTest(unittest.IsolatedAsyncioTestCase):
    """One listener with a certificate that is renewed."""

    def setUp(self) -> None:
        self.directory = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.authority = trustme.CA()
        self.authority_file = self.directory / 'authority.pem'
        self.authority.cert_pem.write_to_path(str(self.authority_file))
        self.renew(1)
        self.contexts = TlsContexts(
            certificate=CertificateFiles(
                chain=self.directory / 'chain.pem',
                key=self.directory / 'key.pem',
            )
        )

    def renew(self, number: int) -> None:
        """Write a new certificate with a newer modification time."""
        issued = self.authority.issue_cert(
            '127.0.0.1', common_name=f'entry-{number}'
        )
        chain = self.directory / 'chain.pem'
        chain.write_bytes(issued.cert_chain_pems[0].bytes())
        key = self.directory / 'key.pem'
        key.write_bytes(issued.private_key_pem.bytes())
        for path in (chain, key):
            os.utime(path, ns=(number, number))

    def listener(self) -> CallerListener:
        """Return a listener with the certificate."""
        return CallerListener(
            session_factory=lambda: MysqlSession(
                chain=answer, is_draining=lambda: False
            ),
            accounts=CallerAccounts(auth_strings={'tablet': AUTH_STRING}),
            tls=self.contexts.server,
        )

    async def test_callers_use_the_renewed_certificate(self) -> None:
        """Guards against renewal by restart, and unencrypted logins."""
        listener = self.listener()
        await listener.start('127.0.0.1', 0)
        port = listener.port
        before = await asyncio.to_thread(self.serial_of, port)
        self.renew(2)
        self.assertTrue(self.contexts.reload_if_changed())
        self.assertFalse(self.contexts.reload_if_changed())
        after = await asyncio.to_thread(self.serial_of, port)
        self.assertNotEqual(before, after)
        listener.stop_accepting()

    async def test_tls_record_in_the_same_segment_as_the_tls_request(
        self,
    ) -> None:
        """Guards against losing a TLS record that arrives before TLS starts."""
        listener = self.listener()
        await listener.start('127.0.0.1', 0)
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', listener.port
        )
        header = await reader.readexactly(4)
        await reader.readexactly(int.from_bytes(header[:3], 'little'))
        context = ssl.create_default_context(cafile=str(self.authority_file))
        received, to_send = ssl.MemoryBIO(), ssl.MemoryBIO()
        client = context.wrap_bio(
            received, to_send, server_hostname='127.0.0.1'
        )
        with self.assertRaises(ssl.SSLWantReadError):
            client.do_handshake()
        # Both in one segment: the record is read together with the request.
        writer.write(TLS_REQUEST + to_send.read())
        while True:
            data = await reader.read(65_536)
            self.assertTrue(data, 'the connection was closed')
            received.write(data)
            try:
                client.do_handshake()
                break
            except ssl.SSLWantReadError:
                writer.write(to_send.read())
        self.assertIsNotNone(client.getpeercert())
        writer.close()
        listener.stop_accepting()

    def serial_of(self, port: int) -> str:
        """Log in over TLS and return the serial number of the server."""
        context = ssl.create_default_context(cafile=str(self.authority_file))
        connection = pymysql.connect(
            host='127.0.0.1',
            port=port,
            user='tablet',
            password=PASSWORD,
            ssl=context,
            autocommit=True,
        )
        with connection, connection.cursor() as cursor:
            self.assertEqual(cursor.execute('UPDATE panes SET id = 1'), 1)
            socket = connection._sock
            assert isinstance(socket, ssl.SSLSocket)
            certificate = socket.getpeercert() or {}
        return str(certificate['serialNumber'])
