"""Addresses and task groups for tests over sockets."""

import asyncio
import socket
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import TaskGroup

from lavendergate.observability.log import MemoryEventLog
from lavendergate.supervision.boundary import Boundary


def free_address() -> str:
    """Return a loopback address, ``ip:port``, on which nothing listens."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        port: int = probe.getsockname()[1]
    return f'127.0.0.1:{port}'


def make_boundary() -> Boundary:
    """Return a boundary whose log nobody reads."""
    return Boundary(events=MemoryEventLog())


def run_scenario(scenario: Callable[[TaskGroup], Awaitable[None]]) -> None:
    """Run a scenario with a task group that is cancelled at its end.

    A scenario fails if it takes longer than 20 s.
    """

    async def run() -> None:
        with anyio.fail_after(20):
            async with anyio.create_task_group() as tasks:
                await scenario(tasks)
                tasks.cancel_scope.cancel()

    asyncio.run(run())
