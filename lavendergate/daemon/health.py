"""Health checks for the balancer, by the gRPC health checking protocol.

The checks have their own listener, because the services between hosts use
another codec and may require client certificates, which a balancer does not
have.
"""

from collections.abc import Callable
from dataclasses import dataclass

import anyio
from grpclib.health.check import ServiceStatus
from grpclib.health.service import OVERALL, Health
from grpclib.server import Server

UPDATE_INTERVAL_S = 0.1

# Service names in health check requests. The empty name, which stands for
# the overall health, reports the readiness.
READINESS = 'readiness'
LIVENESS = 'liveness'


@dataclass(frozen=True, kw_only=True, slots=True)
class _Service:
    """Service stub for `Health`, which only reads the service name."""

    name: str

    def __mapping__(self) -> dict[str, object]:
        return {f'/{self.name}/': None}


class HealthServer:
    """Serves readiness (accepts callers) and liveness (process runs).

    Parameters
    ----------
    is_ready
        Returns whether callers may be sent to this host.
    """

    def __init__(self, *, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready
        self._readiness = ServiceStatus()
        liveness = ServiceStatus()
        liveness.set(True)
        self._server = Server(
            [
                Health(
                    {
                        OVERALL: [self._readiness],
                        _Service(name=READINESS): [self._readiness],
                        _Service(name=LIVENESS): [liveness],
                    }
                )
            ]
        )

    async def run(self, host: str, port: int) -> None:
        """Serve until cancelled."""
        await self._server.start(host, port)
        try:
            while True:
                self._readiness.set(self._is_ready())
                await anyio.sleep(UPDATE_INTERVAL_S)
        finally:
            self._server.close()
