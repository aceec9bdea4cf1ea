"""Calls of control hosts: next host on failure, leader on redirection."""

import asyncio
from typing import TypeVar

from grpclib.exceptions import GRPCError, StreamTerminatedError

from lavendergate.cli.options import ControlOptions
from lavendergate.cli.outcome import refused, unreachable
from lavendergate.rpc.messages import StatusReply, StatusRequest
from lavendergate.rpc.methods import STATUS
from lavendergate.rpc.service import Method, call, open_channel

RequestT = TypeVar('RequestT')
ReplyT = TypeVar('ReplyT')

_MAX_REDIRECTIONS = 4
_NO_QUORUM = (
    'no majority of the control hosts is reachable: nothing can be changed '
    'and no failover takes place; start the missing control hosts'
)

# TimeoutError is an OSError, so it is told apart before connection errors.
_LOST_ANSWER = (TimeoutError, StreamTerminatedError, GRPCError)


class ControlClient:
    """Calls control hosts.

    Parameters
    ----------
    options
        Addresses, timeout and certificates.
    addresses
        Hosts in place of those in the options.
    timeout_s
        Time for an answer in place of that in the options, if longer.
    """

    def __init__(
        self,
        options: ControlOptions,
        *,
        addresses: tuple[str, ...] = (),
        timeout_s: float = 0,
    ) -> None:
        self._addresses = addresses or options.addresses
        self._timeout_s = max(timeout_s, options.timeout_s)
        self._tls = options.tls()

    async def ask(
        self,
        method: Method[RequestT, ReplyT],
        request: RequestT,
        *,
        is_repeatable: bool = True,
        address: str | None = None,
    ) -> ReplyT:
        """Return the answer of the leader, or of the only host that answers.

        Parameters
        ----------
        is_repeatable
            Whether another host may be asked after a lost answer.
        address
            Host to ask in place of the configured ones.

        Raises
        ------
        CommandError
            If no host answers, or if the answer is lost and the request
            must not be repeated.
        """
        waiting = [address] if address else list(self._addresses)
        failures: dict[str, str] = {}
        last: ReplyT | None = None
        for _ in range(len(waiting) + _MAX_REDIRECTIONS):
            if not waiting:
                break
            target = waiting.pop(0)
            reply = await self._try(
                target, method, request, failures, is_repeatable
            )
            if reply is None:
                continue
            leader = getattr(reply, 'leader', None)
            if leader in {None, target} or leader in failures:
                return reply
            last = reply
            waiting = [leader, *(host for host in waiting if host != leader)]
        if last is not None and method.path == STATUS.path:
            return last
        raise unreachable(_describe(failures, last))

    async def status(self) -> StatusReply:
        """Return the state of the system as the leader knows it."""
        return await self.ask(STATUS, StatusRequest())

    async def status_with_quorum(self) -> StatusReply:
        """Return the state of the system before a change.

        Raises
        ------
        CommandError
            If there is no quorum, so that a change cannot be accepted.
        """
        status = await self.status()
        if not status.has_quorum:
            raise refused(_NO_QUORUM)
        return status

    async def _try(
        self,
        address: str,
        method: Method[RequestT, ReplyT],
        request: RequestT,
        failures: dict[str, str],
        is_repeatable: bool,
    ) -> ReplyT | None:
        try:
            return await self._call(address, method, request)
        except _LOST_ANSWER as lost:
            failures[address] = _reason(lost, self._timeout_s)
            if not is_repeatable:
                raise unreachable(
                    f'{address} gave no answer ({failures[address]}), the '
                    'outcome is unknown; look at "lavendergatectl groups" '
                    'before you repeat the command'
                ) from lost
        except OSError as error:
            failures[address] = str(error) or type(error).__name__
        return None

    async def _call(
        self, address: str, method: Method[RequestT, ReplyT], request: RequestT
    ) -> ReplyT:
        channel = open_channel(address, tls=self._tls)
        try:
            return await asyncio.wait_for(
                call(channel, method, request, timeout_s=self._timeout_s),
                self._timeout_s,
            )
        finally:
            channel.close()


def _reason(error: Exception, timeout_s: float) -> str:
    if isinstance(error, TimeoutError):
        return f'no answer within {timeout_s:g} s'
    if isinstance(error, GRPCError):
        # A grpclib server refuses a method that it does not know without a
        # content type, which the client reports as an unknown error.
        return f'{error.message}; the host may not know this command'
    return str(error) or type(error).__name__


def _describe(failures: dict[str, str], last: object) -> str:
    shown = '; '.join(
        f'{address}: {reason}' for address, reason in failures.items()
    )
    if last is None:
        return (
            f'no control host answers ({shown}); check the addresses and '
            'whether the hosts run'
        )
    return (
        f'the control hosts name a leader that does not answer ({shown}); '
        'try again, an election may be running'
    )
