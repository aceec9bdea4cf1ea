"""Interface to the proxies that run relayed statements."""

import abc

from lavendergate.rpc.relay_service import RelayReply, RelayRequest


class RelayNotSentError(Exception):
    """The statement did not reach the home, so it did not run."""


class RelayLostError(Exception):
    """The home may have got the statement but did not answer."""


class RelayTransport(abc.ABC):
    """Calls home proxies; callers limit the time."""

    @abc.abstractmethod
    async def run(self, address: str, request: RelayRequest) -> RelayReply:
        """Have a home run a statement.

        Raises
        ------
        RelayNotSentError
            If no connection could be opened.
        RelayLostError
            If the connection was lost before the reply arrived.
        """

    @abc.abstractmethod
    async def read_time_ms(self, address: str) -> int:
        """Return the time on the clock of a home, in milliseconds.

        Raises
        ------
        RelayNotSentError, RelayLostError
            If the home did not answer.
        """

    @abc.abstractmethod
    def disconnect(self, address: str) -> None:
        """Close the connection to a home; its pending calls fail."""
