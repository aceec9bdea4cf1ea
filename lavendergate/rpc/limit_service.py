"""Messages by which proxies borrow operations of customers' limits."""

import abc

import msgspec

from lavendergate.core.bounds.ranges import Balance, Integer
from lavendergate.core.customers.table import CustomerName


class LimitQuestion(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Asks an owner for operations of one customer.

    Parameters
    ----------
    slot
        Number of the customer's slot that the owner is asked for.
    wanted
        Number of operations; 0 to have the slot handed over to the sender.
    """

    customer: CustomerName
    slot: Integer
    wanted: Integer


class LimitAnswer(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Answer to one question.

    Parameters
    ----------
    granted
        Granted operations. 0 if the limit is reached, -1 if the receiver may
        not grant operations of the slot at present.
    retry_after_ms
        Time until the owner can grant an operation, in milliseconds, rounded
        up; if the limit is reached.
    tokens
        Operations that are handed over.
    is_free
        Whether no other proxy than the sender can grant operations, as the
        answer to a question for a handover.
    """

    granted: Integer
    retry_after_ms: Integer = 0
    tokens: Balance | None = None
    is_free: bool = False


class LimitRequest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Questions of one proxy to another.

    Parameters
    ----------
    sender
        Address of the proxy that asks, ``ip:port``.
    """

    sender: str
    questions: tuple[LimitQuestion, ...]


class LimitReply(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Answers in the order of the questions."""

    answers: tuple[LimitAnswer, ...]


class LimitTransport(abc.ABC):
    """Calls owners of limits; callers limit the time."""

    @abc.abstractmethod
    async def ask_limits(
        self, address: str, request: LimitRequest
    ) -> LimitReply:
        """Ask a proxy for operations.

        Raises
        ------
        RelayNotSentError
            If no connection could be opened.
        RelayLostError
            If the connection was lost before the reply arrived.
        """
