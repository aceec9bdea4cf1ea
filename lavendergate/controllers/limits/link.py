"""Link of a proxy to one owner of limits."""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from lavendergate.controllers.waiters import TaskStarter
from lavendergate.rpc.limit_service import (
    LimitAnswer,
    LimitQuestion,
    LimitRequest,
    LimitTransport,
)
from lavendergate.rpc.relay_transport import RelayLostError, RelayNotSentError

# Time for the answer of an owner, in seconds. It is several times the round
# trip between regions.
_ANSWER_TIMEOUT_S = 0.2
# Time for which an owner that did not answer is not asked, in seconds.
_SILENT_S = 0.5
# Weight of the last answer in the average round trip.
_ROUND_TRIP_WEIGHT = 0.2


@dataclass(kw_only=True, slots=True, eq=False)
class _PendingQuestion:
    question: LimitQuestion
    answered: anyio.Event = field(default_factory=anyio.Event)
    answer: LimitAnswer | None = None


class LimitLink:
    """Asks one owner; questions of the same moment travel in one frame.

    Parameters
    ----------
    address
        Address of the owner, ``ip:port``.
    own_address
        Address of this proxy, ``ip:port``.
    """

    def __init__(
        self,
        *,
        address: str,
        own_address: str,
        transport: LimitTransport,
        tasks: TaskStarter,
        clock: Callable[[], float],
    ) -> None:
        self._address = address
        self._own_address = own_address
        self._transport = transport
        self._tasks = tasks
        self._clock = clock
        self._pending: list[_PendingQuestion] = []
        self._avoided_until = float('-inf')
        self._round_trip_s: float = 0

    @property
    def is_usable(self) -> bool:
        """Whether the owner answered its last question."""
        return self._clock() >= self._avoided_until

    @property
    def round_trip_s(self) -> float:
        """Average time to an answer, in seconds; 0 before the first one."""
        return self._round_trip_s

    async def ask(self, question: LimitQuestion) -> LimitAnswer | None:
        """Return the answer of the owner; None if it does not answer."""
        pending = _PendingQuestion(question=question)
        self._pending.append(pending)
        if len(self._pending) == 1:
            self._tasks.start_soon(self._send)
        await pending.answered.wait()
        return pending.answer

    async def _send(self) -> None:
        await anyio.lowlevel.checkpoint()
        batch, self._pending = self._pending, []
        sent_at = self._clock()
        try:
            with anyio.fail_after(_ANSWER_TIMEOUT_S):
                reply = await self._transport.ask_limits(
                    self._address,
                    LimitRequest(
                        sender=self._own_address,
                        questions=tuple(one.question for one in batch),
                    ),
                )
        except (TimeoutError, RelayNotSentError, RelayLostError):
            self._avoided_until = self._clock() + _SILENT_S
        else:
            self._record_round_trip(self._clock() - sent_at)
            for pending, answer in zip(batch, reply.answers, strict=False):
                pending.answer = answer
        finally:
            for pending in batch:
                pending.answered.set()

    def _record_round_trip(self, round_trip_s: float) -> None:
        change_s = round_trip_s - self._round_trip_s
        self._round_trip_s += change_s * _ROUND_TRIP_WEIGHT
