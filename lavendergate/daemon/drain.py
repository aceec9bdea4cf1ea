"""Graceful shutdown of the proxy role."""

import anyio

from lavendergate.daemon.context import ProcessContext
from lavendergate.daemon.proxy import ProxyRole
from lavendergate.observability.process_events import ProcessEvent

POLL_INTERVAL_S = 0.05
# Time for the answers to statements that are given up to leave the host, in
# seconds.
_ANSWER_S = 0.2

_MS_PER_S = 1000


class Drain:
    """Finishes the statements in flight, then closes callers' connections.

    Parameters
    ----------
    context
        Process whose options set the delay for the balancer and the limit
        of the drain.
    proxy
        Proxy role to drain.
    """

    def __init__(self, *, context: ProcessContext, proxy: ProxyRole) -> None:
        self._context = context
        self._proxy = proxy
        self._ended = anyio.Event()

    def end_now(self) -> None:
        """End the drain; abort the statements that are still in flight."""
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
        aborted = listener.busy_count
        listener.give_up_statements()
        with anyio.move_on_after(_ANSWER_S):
            while listener.running_count:
                await anyio.sleep(POLL_INTERVAL_S)
        listener.close_all()
        self._report(started_at, aborted)
        if not self._ended.is_set():
            await self._proxy.return_shares()

    async def _finish_statements(self) -> None:
        # The balancer notices the failing health check during this delay.
        # Callers that it still sends until then are served.
        self._proxy.fail_health_check()
        await anyio.sleep(self._context.options.drain_delay_s)
        self._proxy.refuse_new_statements()
        listener = self._proxy.listener
        listener.stop_accepting()
        while listener.close_idle():
            await anyio.sleep(POLL_INTERVAL_S)

    async def _cancel_when_ended(self, limit: anyio.CancelScope) -> None:
        await self._ended.wait()
        limit.cancel()

    def _report(self, started_at: float, aborted: int) -> None:
        duration_ms = int((anyio.current_time() - started_at) * _MS_PER_S)
        events = self._context.events
        if aborted:
            events.emit(
                ProcessEvent.drain_cut, duration_ms=duration_ms, cut=aborted
            )
        else:
            events.emit(ProcessEvent.drain_done, duration_ms=duration_ms)
