"""Procedure by which the administrator injects faults."""

import asyncio
import os
import time
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any

from standin.errors import MemberError
from standin.faults import Faults
from standin.group import GroupMember
from standin.registry import ConnectionRegistry
from standin.replies import Reply

if TYPE_CHECKING:
    from standin.connection import MemberConnection

_MS_PER_S = 1000
_EXIT_CRASHED = 137
# The pause begins after this time, so that the answer to the command that
# sets it can be sent.
_PAUSE_DELAY_S = 0.02
_LONGEST_PAUSE_S = 120.0


class FaultCommands:
    """Carries out ``CALL standin_fault(name, value)``.

    Parameters
    ----------
    faults, member, registry
        State of the member that the faults change.
    """

    def __init__(
        self,
        *,
        faults: Faults,
        member: GroupMember,
        registry: ConnectionRegistry,
    ) -> None:
        self._faults = faults
        self._member = member
        self._registry = registry
        self._caller: MemberConnection | None = None
        self._commands: dict[str, Callable[[Any], None]] = {
            'crash': self._crash,
            'pause': self._pause,
            'cut_replication': self._cut_replication,
            'stop_announcing': self._stop_announcing,
            'refuse': self._refuse,
            'blackhole': self._blackhole,
            'silence_connections': self._silence_connections,
            'replication_delay_ms': self._set_replication_delay,
            'service_ms': self._set_service_time,
            'connect_delay_ms': self._set_connect_delay,
            'lose_commit_answer': self._lose_commit_answer,
            'clear': self._clear,
        }

    def set_fault(
        self, arguments: Sequence[Any], *, caller: 'MemberConnection | None'
    ) -> Reply:
        """Set the fault that the arguments name.

        Raises
        ------
        MemberError
            If the fault does not exist or does not accept the value.
        """
        self._caller = caller
        name = str(arguments[0]) if arguments else ''
        command = self._commands.get(name)
        if command is None:
            raise MemberError(
                1305,
                f"fault '{name}' does not exist; known faults are "
                f'{", ".join(self._commands)}',
            )
        value = arguments[1] if len(arguments) > 1 else ''
        try:
            command(value)
        except ValueError as error:
            raise MemberError(
                1318, f"fault '{name}' does not accept {value!r}: {error}"
            ) from error
        return Reply()

    def _crash(self, value: Any) -> None:
        os._exit(_EXIT_CRASHED)

    def _pause(self, value: Any) -> None:
        pause_s = min(float(value) / _MS_PER_S, _LONGEST_PAUSE_S)
        loop = asyncio.get_running_loop()
        # Blocks the event loop, as if the process were stopped.
        loop.call_later(_PAUSE_DELAY_S, time.sleep, pause_s)

    def _cut_replication(self, value: Any) -> None:
        self._faults.is_replication_cut = _parse_switch(value)
        self._member.notify_waiters()

    def _stop_announcing(self, value: Any) -> None:
        self._faults.is_announcing_stopped = _parse_switch(value)

    def _refuse(self, value: Any) -> None:
        self._faults.refused = _parse_names(value)
        for connection in self._other_connections():
            if self._faults.is_refused(names=connection.peer_names):
                connection.abort()

    def _blackhole(self, value: Any) -> None:
        self._faults.blackholed = _parse_names(value)
        for connection in self._other_connections():
            if self._faults.is_blackholed(names=connection.peer_names):
                connection.stop_answering()

    def _silence_connections(self, value: Any) -> None:
        for connection in self._other_connections():
            connection.stop_answering()

    def _set_replication_delay(self, value: Any) -> None:
        self._faults.replication_delay_s = _parse_seconds(value)

    def _set_service_time(self, value: Any) -> None:
        self._faults.service_s = _parse_seconds(value)

    def _set_connect_delay(self, value: Any) -> None:
        self._faults.connect_delay_s = _parse_seconds(value)

    def _lose_commit_answer(self, value: Any) -> None:
        if value not in {'close', 'silent', ''}:
            raise ValueError("expected 'close', 'silent' or ''")
        self._faults.lost_commit_mode = value

    def _clear(self, value: Any) -> None:
        self._faults.clear()
        self._member.notify_waiters()

    def _other_connections(self) -> list['MemberConnection']:
        return [
            connection
            for connection in self._registry
            if connection is not self._caller
        ]


def _parse_switch(value: Any) -> bool:
    return bool(int(value))


def _parse_seconds(value: Any) -> float:
    seconds = float(value) / _MS_PER_S
    if seconds < 0:
        raise ValueError('expected a time of 0 ms or more')
    return seconds


def _parse_names(value: Any) -> set[str]:
    names = (name.strip() for name in str(value).split(','))
    return {name for name in names if name}
