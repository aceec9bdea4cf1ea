"""Graceful shutdown of the proxy role."""

import anyio

from lavendergate.daemon.context import ProcessContext
from lavendergate.daemon.proxy import ProxyRole
from lavendergate.observability.process_events import ProcessEvent

POLL_INTERVAL_S = 0.05

_MS_PER_S = 1000


class Drain:
    """Finishes what is in flight, then closes the callers' connections.

    Parameters
    ----------
    context
        Gives the delay for the balancer and the limit of the drain.
    """

    def __init__(self, *, context: ProcessContext, proxy: ProxyRole) -> None:
        self._context = context
        self._proxy = proxy
        self._ended = anyio.Event()

    def end_now(self) -> None:
        """Cut what is still in flight."""
        self._ended.set()

    async def run(self) -> None:
        """Drain until nothing is in flight or the limit is reached."""
        started_at = anyio.current_time()
        listener = self._proxy.listener
        self._context.events.emit(
            ProcessEvent.drain_begun, connections=listener.connection_count
        )
        deadline = started_at + self._context.options.drain_limit_s
        with anyio.CancelScope(deadline=deadline) as limit:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._cancel_when_ended, limit)
                await self._finish_statements()
                tasks.cancel_scope.cancel()
        cut = listener.busy_count
        listener.close_all()
        self._report(started_at, cut)
        if not self._ended.is_set():
            await self._proxy.hand_back_shares()

    async def _finish_statements(self) -> None:
        # The balancer sees the failed health check during the delay;
        # callers that it still sends are served.
        self._proxy.fail_health_check()
        await anyio.sleep(self._context.options.drain_delay_s)
        self._proxy.begin_drain()
        listener = self._proxy.listener
        listener.stop_accepting()
        while listener.close_idle():
            await anyio.sleep(POLL_INTERVAL_S)

    async def _cancel_when_ended(self, limit: anyio.CancelScope) -> None:
        await self._ended.wait()
        limit.cancel()

    def _report(self, started_at: float, cut: int) -> None:
        duration_ms = int((anyio.current_time() - started_at) * _MS_PER_S)
        events = self._context.events
        if cut:
            events.emit(
                ProcessEvent.drain_cut, duration_ms=duration_ms, cut=cut
            )
        else:
            events.emit(ProcessEvent.drain_done, duration_ms=duration_ms)
