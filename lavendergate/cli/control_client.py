"""Client of the control hosts.

Tries the next host if one fails, and follows redirections to the leader.
"""

import asyncio
from typing import TypeVar

from grpclib.exceptions import GRPCError, StreamTerminatedError

from lavendergate.cli.errors import problem_error, unreachable_error
from lavendergate.cli.options import ControlOptions
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

# Errors after which the request may have been executed. TimeoutError is an
# OSError, so these are caught before connection errors.
_LOST_ANSWER_ERRORS = (TimeoutError, StreamTerminatedError, GRPCError)


class ControlClient:
    """Calls methods of the control hosts.

    Parameters
    ----------
    options
        Addresses, timeout and certificates.
    addresses
        Hosts to call instead of those in the options.
    timeout_s
        Time limit for the answer of one host, in seconds; the limit in the
        options applies if it is longer.
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
        self._tls = options.tls_context()

    async def call(
        self,
        method: Method[RequestT, ReplyT],
        request: RequestT,
        *,
        is_repeatable: bool = True,
        address: str | None = None,
    ) -> ReplyT:
        """Return the answer of the leader.

        If a host names no leader, or a leader that did not answer this call,
        the host's own answer is returned. A status request also returns the
        last answer if the limit of redirections or the end of the list of
        hosts is reached.

        Parameters
        ----------
        is_repeatable
            Whether the request may be sent to another host after an answer
            was lost.
        address
            Host to call instead of the configured ones.

        Raises
        ------
        CommandError
            If no host answers, or if the answer is lost and the request
            must not be repeated.
        """
        remaining = [address] if address else list(self._addresses)
        failures: dict[str, str] = {}
        last_reply: ReplyT | None = None
        for _ in range(len(remaining) + _MAX_REDIRECTIONS):
            if not remaining:
                break
            target = remaining.pop(0)
            reply = await self._call_or_record_failure(
                target, method, request, failures, is_repeatable
            )
            if reply is None:
                continue
            leader = getattr(reply, 'leader', None)
            if leader in {None, target} or leader in failures:
                return reply
            last_reply = reply
            remaining = [
                leader,
                *(host for host in remaining if host != leader),
            ]
        if last_reply is not None and method.path == STATUS.path:
            return last_reply
        raise unreachable_error(_describe_failures(failures, last_reply))

    async def status(self) -> StatusReply:
        """Return the state of the system as known to the leader."""
        return await self.call(STATUS, StatusRequest())

    async def status_with_quorum(self) -> StatusReply:
        """Return the state of the system, and require a quorum.

        Called before changes, which are not accepted without a quorum.

        Raises
        ------
        CommandError
            If there is no quorum.
        """
        status = await self.status()
        if not status.has_quorum:
            raise problem_error(_NO_QUORUM)
        return status

    async def _call_or_record_failure(
        self,
        address: str,
        method: Method[RequestT, ReplyT],
        request: RequestT,
        failures: dict[str, str],
        is_repeatable: bool,
    ) -> ReplyT | None:
        try:
            return await self._call_host(address, method, request)
        except _LOST_ANSWER_ERRORS as lost:
            failures[address] = _describe_error(lost, self._timeout_s)
            if not is_repeatable:
                raise unreachable_error(
                    f'{address} gave no answer ({failures[address]}), the '
                    'outcome is unknown; look at "lavendergatectl groups" '
                    'before you repeat the command'
                ) from lost
        except OSError as error:
            failures[address] = str(error) or type(error).__name__
        return None

    async def _call_host(
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


def _describe_error(error: Exception, timeout_s: float) -> str:
    if isinstance(error, TimeoutError):
        return f'no answer within {timeout_s:g} s'
    if isinstance(error, GRPCError):
        # A grpclib server rejects an unknown method without a content type,
        # which the client reports as an unknown error.
        return f'{error.message}; the host may not support this command'
    return str(error) or type(error).__name__


def _describe_failures(failures: dict[str, str], last_reply: object) -> str:
    described = '; '.join(
        f'{address}: {reason}' for address, reason in failures.items()
    )
    if last_reply is None:
        return (
            f'no control host answers ({described}); check the addresses and '
            'whether the hosts run'
        )
    return (
        f'the control hosts name a leader that does not answer ({described}); '
        'try again, an election may be running'
    )
