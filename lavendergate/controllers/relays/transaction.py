"""State of the transaction of a relayed session."""

from dataclasses import dataclass

from lavendergate.controllers.relays.link import RelayLink
from lavendergate.core.sessions.statements import Phase, RefusalCode
from lavendergate.rpc.relay_service import RelayReply, RelayStatus


@dataclass(frozen=True, kw_only=True, slots=True)
class NoTransaction:
    """No transaction is open."""


@dataclass(frozen=True, kw_only=True, slots=True)
class OpenTransaction:
    """A home holds the transaction.

    Parameters
    ----------
    link
        Link to the home.
    number
        Number of the transaction at the home.
    """

    link: RelayLink
    number: int


@dataclass(frozen=True, kw_only=True, slots=True)
class EndedTransaction:
    """The home has rolled the transaction back; its caller has to end it."""


RelayedTransactionState = NoTransaction | OpenTransaction | EndedTransaction


def next_transaction(
    state: RelayedTransactionState, link: RelayLink, reply: RelayReply
) -> RelayedTransactionState:
    """Return the state after a reply of a home.

    Only a reply with a phase can end a transaction that the home holds. A home
    that ran nothing knows no phase, and the transaction is still open there.
    """
    if reply.status != RelayStatus.answered:
        return state
    match state:
        case NoTransaction() if reply.transaction is not None:
            return OpenTransaction(link=link, number=reply.transaction)
        case OpenTransaction() if reply.phase == Phase.idle:
            return NoTransaction()
        case OpenTransaction() if reply.phase is None:
            is_ended = reply.code == RefusalCode.aborted
            return EndedTransaction() if is_ended else state
        case _:
            return state
