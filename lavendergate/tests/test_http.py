"""Tests of the HTTP server and client."""

import asyncio
import unittest

from anyio.abc import TaskGroup

from lavendergate.backends.promotion import OrderOutcome
from lavendergate.core.types import GroupId, HostId, UpstreamId
from lavendergate.platform.promotion_calls import PlatformPromotions
from lavendergate.rpc.http import (
    HttpCallError,
    HttpRequest,
    HttpResponse,
    call_http,
    serve_http,
)
from lavendergate.tests.socket_fixture import (
    free_address,
    make_boundary,
    run_scenario,
)

_MAX_BODY = 1000


class HttpTest(unittest.TestCase):
    """HTTP server, HTTP client and the promotion calls that use them."""

    def test_requests_share_a_connection_and_long_ones_are_refused(
        self,
    ) -> None:
        """Guards against a request body that exhausts memory.

        A body above the limit is refused with status 413, also on a
        connection that served earlier requests.
        """

        async def handle(request: HttpRequest) -> HttpResponse:
            return HttpResponse(body=request.body)

        async def serve(address: str, **options: object) -> None:
            await serve_http(
                address,
                handle,
                max_body_bytes=_MAX_BODY,
                boundary=make_boundary(),
                **options,  # type: ignore[arg-type]
            )

        async def scenario(tasks: TaskGroup) -> None:
            address = free_address()
            await tasks.start(serve, address)
            reader, writer = await asyncio.open_connection(*address.split(':'))
            for _ in range(2):
                writer.write(
                    b'PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nok'
                )
                head = await reader.readuntil(b'\r\n\r\n')
                self.assertIn(b'200', head)
                self.assertEqual(await reader.readexactly(2), b'ok')
            writer.write(
                b'PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n'
                + b'x' * 5000
            )
            self.assertIn(b'413', await reader.readline())
            writer.close()

        run_scenario(scenario)

    def test_missing_response_is_unclear(self) -> None:
        """Guards against treating an order without response as refused.

        The platform may have executed the order, so its outcome is unclear.
        """

        async def scenario(tasks: TaskGroup) -> None:
            promotions = PlatformPromotions(address=free_address())
            outcome = await promotions.promote(
                service=GroupId('s'),
                upstream_id=UpstreamId('i'),
                holder=HostId('h'),
                token=1,
                may_send=lambda: True,
            )
            self.assertEqual(outcome, OrderOutcome.unclear)
            with self.assertRaises(HttpCallError):
                await call_http(
                    free_address(),
                    HttpRequest(method='GET', path='/'),
                    headers={},
                    timeout_s=1,
                )

        run_scenario(scenario)

    def test_order_is_not_sent_once_the_right_to_send_it_ended(self) -> None:
        """Guards against an order after a slow connect or a freeze."""
        requests: list[HttpRequest] = []

        async def handle(request: HttpRequest) -> HttpResponse:
            requests.append(request)
            return HttpResponse()

        async def serve(address: str, **options: object) -> None:
            await serve_http(
                address,
                handle,
                max_body_bytes=_MAX_BODY,
                boundary=make_boundary(),
                **options,  # type: ignore[arg-type]
            )

        async def scenario(tasks: TaskGroup) -> None:
            address = free_address()
            await tasks.start(serve, address)
            outcome = await PlatformPromotions(address=address).promote(
                service=GroupId('s'),
                upstream_id=UpstreamId('i'),
                holder=HostId('h'),
                token=1,
                may_send=lambda: False,
            )
            self.assertEqual(outcome, OrderOutcome.not_sent)
            self.assertFalse(requests)

        run_scenario(scenario)

    def test_order_carries_the_fence_and_its_status_is_read(self) -> None:
        """Guards against malformed promotion orders and misread statuses.

        Status 200 means done and 409 refused; any other leaves the outcome
        unclear. The fencing token is a header, which the server does not pass
        to the handler, so this test cannot check it.
        """
        requests: list[HttpRequest] = []
        statuses = iter((200, 409, 429))

        async def handle(request: HttpRequest) -> HttpResponse:
            requests.append(request)
            return HttpResponse(status=next(statuses))

        async def serve(address: str, **options: object) -> None:
            await serve_http(
                address,
                handle,
                max_body_bytes=_MAX_BODY,
                boundary=make_boundary(),
                **options,  # type: ignore[arg-type]
            )

        async def scenario(tasks: TaskGroup) -> None:
            address = free_address()
            await tasks.start(serve, address)
            promotions = PlatformPromotions(address=address)
            outcomes = [
                await promotions.promote(
                    service=GroupId('s'),
                    upstream_id=UpstreamId('i'),
                    holder=HostId('h'),
                    token=token,
                    may_send=lambda: True,
                )
                for token in (1, 2, 3)
            ]
            self.assertEqual(
                outcomes,
                [
                    OrderOutcome.done,
                    OrderOutcome.refused,
                    OrderOutcome.unclear,
                ],
            )
            self.assertEqual(requests[0].body, b'{"service":"s","id":"i"}')

        run_scenario(scenario)
