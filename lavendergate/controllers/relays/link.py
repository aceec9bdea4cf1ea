"""Link of a proxy to one home proxy."""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from lavendergate.controllers.waiters import TaskStarter
from lavendergate.core.relays.clock_offset import ClockSample, RemoteClock
from lavendergate.observability.log import EventLog
from lavendergate.observability.session_events import SessionEvent
from lavendergate.rpc.relay_service import RelayReply, RelayRequest
from lavendergate.rpc.relay_transport import (
    RelayLostError,
    RelayNotSentError,
    RelayTransport,
)

# Time for the answer to a hello, in seconds. It is several times the round trip
# between regions.
_HELLO_TIMEOUT_S = 0.35
# Time without an answer after which a home is asked whether it is alive, in
# seconds. Longer than most statements take.
_CHECK_AFTER_S = 0.25
# Time for which a home that did not answer is not used, in seconds, and the
# same for one that declined a statement.
_SUSPECT_S = 1.0
_DECLINED_S = 2.0
_MS_PER_S = 1000


@dataclass(kw_only=True, slots=True, eq=False)
class _PendingCall:
    """A statement that waits for the answer of the home."""

    sent_at: float
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)


class RelayLink:
    """One multiplexed connection to a home.

    Parameters
    ----------
    address
        Address of the home, ``ip:port``.
    transport
        Calls the home.
    tasks
        Runs the check of a home that does not answer.
    real_clock
        Time that also passes while the host is suspended, in seconds.
    """

    def __init__(
        self,
        *,
        address: str,
        transport: RelayTransport,
        tasks: TaskStarter,
        real_clock: Callable[[], float],
        events: EventLog,
    ) -> None:
        self._address = address
        self._real_clock = real_clock
        self._events = events
        self._transport = transport
        self._tasks = tasks
        self._home_clock = RemoteClock()
        self._avoided_until = float('-inf')
        self._hello_lock = anyio.Lock()
        self._pending: set[_PendingCall] = set()
        self._is_checking = False

    @property
    def address(self) -> str:
        """Address of the home, ``ip:port``."""
        return self._address

    @property
    def is_usable(self) -> bool:
        """Whether statements may be passed on to the home."""
        return anyio.current_time() >= self._avoided_until

    async def connect(self) -> None:
        """Connect to the home and learn its time, unless it is known.

        Raises
        ------
        RelayNotSentError
            If the home does not answer.
        """
        if self._knows_home_clock():
            return
        async with self._hello_lock:
            if self._knows_home_clock():
                return
            is_answered = await self._say_hello()
            # An answer that waited while this host was suspended does not
            # tell the time.
            if not (is_answered and self._knows_home_clock()):
                self._suspect('it does not answer')
                raise RelayNotSentError(f'home {self._address} does not answer')

    def expires_at_ms(self, timeout_s: float) -> int:
        """Return the time on the home's clock that is at most this far away.

        A statement expires at once where that clock is not known.
        """
        home_now = self._home_clock.earliest_time(self._real_clock())
        return (
            0 if home_now is None else int((home_now + timeout_s) * _MS_PER_S)
        )

    async def run(self, request: RelayRequest) -> RelayReply:
        """Have the home run a statement.

        Raises
        ------
        RelayNotSentError
            If the connection was refused.
        RelayLostError
            If the home stopped answering.
        """
        call = _PendingCall(sent_at=anyio.current_time())
        sent_at = self._real_clock()
        self._pending.add(call)
        if not self._is_checking:
            self._is_checking = True
            self._tasks.start_soon(self._check_pending)
        try:
            with call.scope:
                reply = await self._transport.run(self._address, request)
                self._record_time(sent_at, reply.now_ms)
                return reply
        except RelayNotSentError:
            self._suspect('it refuses connections')
            raise
        except RelayLostError:
            # Another host may answer at the address from now on.
            self._home_clock.forget()
            raise
        finally:
            self._pending.discard(call)
        raise RelayLostError(f'home {self._address} stopped answering')

    def record_declined(self) -> None:
        """Do not use the home for a moment, because it is stopping."""
        self._avoided_until = anyio.current_time() + _DECLINED_S

    async def _check_pending(self) -> None:
        """Fail the pending statements once the home answers no hello."""
        try:
            while self._pending:
                await anyio.sleep(_CHECK_AFTER_S)
                if self._has_waited_long() and not await self._say_hello():
                    self._suspect('it stopped answering')
        finally:
            self._is_checking = False

    def _has_waited_long(self) -> bool:
        oldest = anyio.current_time() - _CHECK_AFTER_S
        return any(call.sent_at <= oldest for call in self._pending)

    async def _say_hello(self) -> bool:
        sent_at = self._real_clock()
        try:
            with anyio.fail_after(_HELLO_TIMEOUT_S):
                now_ms = await self._transport.read_time_ms(self._address)
        except (TimeoutError, RelayNotSentError, RelayLostError):
            return False
        self._record_time(sent_at, now_ms)
        return True

    def _knows_home_clock(self) -> bool:
        return self._home_clock.is_known(self._real_clock())

    def _record_time(self, sent_at: float, home_now_ms: int) -> None:
        self._home_clock.record(
            ClockSample(
                sent_at=sent_at,
                received_at=self._real_clock(),
                remote_time=home_now_ms / _MS_PER_S,
            )
        )

    def _suspect(self, reason: str) -> None:
        if self.is_usable:
            self._events.emit(
                SessionEvent.home_suspected, home=self._address, reason=reason
            )
        self._avoided_until = anyio.current_time() + _SUSPECT_S
        self._home_clock.forget()
        self._transport.disconnect(self._address)
        for call in self._pending:
            call.scope.cancel()
