"""Tests of the health checks with a client of the standard protocol."""

import asyncio
import socket
import unittest

import anyio
from grpclib.client import Channel
from grpclib.health.v1.health_grpc import HealthStub
from grpclib.health.v1.health_pb2 import (
    HealthCheckRequest,
    HealthCheckResponse,
)

from lavendergate.daemon.health import LIVENESS, READINESS, HealthServer

SERVING = HealthCheckResponse.SERVING
NOT_SERVING = HealthCheckResponse.NOT_SERVING


class HealthTest(unittest.TestCase):
    """Readiness and liveness."""

    def test_readiness_follows_the_proxy(self) -> None:
        """Guards against a balancer that sends callers to a draining host."""
        asyncio.run(self.check())

    async def check(self) -> None:
        """Ask while ready, then while draining."""
        with socket.socket() as free:
            free.bind(('127.0.0.1', 0))
            port = free.getsockname()[1]
        ready = [True]
        async with anyio.create_task_group() as tasks:
            health = HealthServer(is_ready=lambda: ready[0])
            tasks.start_soon(health.run, '127.0.0.1', port)
            channel = Channel('127.0.0.1', port)
            stub = HealthStub(channel)
            with anyio.fail_after(30):
                await self.wait_for(stub, READINESS, SERVING)
                await self.wait_for(stub, '', SERVING)
                ready[0] = False
                await self.wait_for(stub, READINESS, NOT_SERVING)
                await self.wait_for(stub, LIVENESS, SERVING)
            channel.close()
            tasks.cancel_scope.cancel()

    async def wait_for(
        self, stub: HealthStub, service: str, wanted: int
    ) -> None:
        """Repeat the check until it gives the wanted status."""
        while True:
            try:
                answer = await stub.Check(HealthCheckRequest(service=service))
            except OSError:
                await anyio.sleep(0.02)
                continue
            if answer.status == wanted:
                return
            await anyio.sleep(0.02)
