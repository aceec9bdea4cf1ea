"""Tests of the codec of messages between hosts."""

import unittest

import anyio
import msgspec

from lavendergate.core.bounds.decoding import (
    InvalidValueError,
    NotEncodableError,
)
from lavendergate.rpc.codec import MessagePackCodec
from lavendergate.rpc.fleet_service import (
    READ_ROUTES,
    FleetVersion,
    JoinRequest,
    RelayOffer,
)
from lavendergate.rpc.fleet_service import RoutesRequest as Request
from lavendergate.rpc.peers import PeerCallError, PeerClient
from lavendergate.rpc.transport import GrpcTransport, TransportError
from lavendergate.tests.bounds.odd_messages import envelope

_NESTED = b'\x93' + b'\xa1a' + b'\x01' + b'\x91' * 5000 + b'\xc0'


class CodecTest(unittest.TestCase):
    """Errors of the codec."""

    def test_nested_message_is_refused(self) -> None:
        """Guards against nesting that ends the receiver of a message."""
        with self.assertRaises(InvalidValueError):
            MessagePackCodec().decode(_NESTED, FleetVersion)

    def test_value_beyond_the_format_is_refused(self) -> None:
        """Guards against a large number that ends the sender."""
        codec = MessagePackCodec()
        for version in (1 << 70, -(1 << 70)):
            message = FleetVersion(source='a', version=version)
            with self.assertRaises(NotEncodableError):
                codec.encode(message, FleetVersion)
        with self.assertRaises(NotEncodableError):
            codec.encode(FleetVersion(source='\ud800'), FleetVersion)


class JoinTest(unittest.TestCase):
    """Requests of control hosts to join the group."""

    def test_host_without_a_port_does_not_join(self) -> None:
        """Guards against an address in the log that no voter can call."""
        codec = MessagePackCodec()
        for address, is_valid in (
            ('10.0.0.1:7440', True),
            ('localhost:7440', True),
            ('10.0.0.1:70000', False),
            ('10.0.0.1', False),
            ('a b:80', False),
        ):
            content = msgspec.msgpack.encode([['c4', 'i4', address]])
            with self.subTest(address):
                if is_valid:
                    codec.decode(content, JoinRequest)
                    continue
                with self.assertRaises(InvalidValueError):
                    codec.decode(content, JoinRequest)


class OfferTest(unittest.TestCase):
    """Offers of proxies to be homes."""

    def test_offer_that_no_proxy_can_call_is_refused(self) -> None:
        """Guards against an odd offer that the leader sends to all proxies."""
        codec = MessagePackCodec()
        for address, domain, is_valid in (
            ('10.0.0.8:7440', 'zone-a', True),
            ('10.0.0.8:70000', 'zone-a', False),
            ('a' * 1_000_000, 'zone-a', False),
            ('', 'zone-a', False),
            ('10.0.0.8:7440', 'z' * 1_000_000, False),
        ):
            content = msgspec.msgpack.encode([address, domain, False, 0])
            with self.subTest(address=address[:20], domain=domain[:20]):
                if is_valid:
                    codec.decode(content, RelayOffer)
                    continue
                with self.assertRaises(InvalidValueError):
                    codec.decode(content, RelayOffer)


class PeerAddressTest(unittest.TestCase):
    """Calls to addresses that are none."""

    def test_odd_address_of_a_host_is_unreachable(self) -> None:
        """Guards against an odd address in an answer that ends a host."""

        async def call() -> None:
            peers, transport = PeerClient(), GrpcTransport()
            for odd in (
                '10.0.0.1',
                '',
                '10.0.0.1:70000',
                'a:²',
                'a:' + '9' * 99,
            ):
                with self.assertRaises(PeerCallError):
                    await peers.call(odd, READ_ROUTES, Request(), timeout_s=1)
                with self.assertRaises(TransportError):
                    await transport.exchange(odd, envelope(), timeout_s=1)

        anyio.run(call)
