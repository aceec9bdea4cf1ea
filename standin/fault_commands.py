"""Sets faults for the administrator."""

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
# A pause begins after the answer to its own command.
_ANSWER_TIME_S = 0.02
_LONGEST_PAUSE_S = 120.0


class FaultCommands:
    """Carries out ``CALL standin_fault(name, value)``.

    Parameters
    ----------
    faults, member, registry
        State of the member.
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
            'replication_delay_ms': self._replication_delay,
            'service_ms': self._service,
            'connect_delay_ms': self._connect_delay,
            'lose_commit_answer': self._lose_commit_answer,
            'clear': self._clear,
        }

    def set(
        self, arguments: Sequence[Any], *, caller: 'MemberConnection | None'
    ) -> Reply:
        """Set a fault.

        Raises
        ------
        MemberError
            If the fault does not exist or its value is wrong.
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
        # Blocks the whole process, as a stopped or frozen one would be.
        loop.call_later(_ANSWER_TIME_S, time.sleep, pause_s)

    def _cut_replication(self, value: Any) -> None:
        self._faults.is_replication_cut = _switch(value)
        self._member.notify()

    def _stop_announcing(self, value: Any) -> None:
        self._faults.is_announcing_stopped = _switch(value)

    def _refuse(self, value: Any) -> None:
        self._faults.refused = _names(value)
        for connection in self._others():
            if self._faults.is_refused(names=connection.peer_names):
                connection.break_off()

    def _blackhole(self, value: Any) -> None:
        self._faults.blackholed = _names(value)
        for connection in self._others():
            if self._faults.is_blackholed(names=connection.peer_names):
                connection.go_silent()

    def _silence_connections(self, value: Any) -> None:
        for connection in self._others():
            connection.go_silent()

    def _replication_delay(self, value: Any) -> None:
        self._faults.replication_delay_s = _seconds(value)

    def _service(self, value: Any) -> None:
        self._faults.service_s = _seconds(value)

    def _connect_delay(self, value: Any) -> None:
        self._faults.connect_delay_s = _seconds(value)

    def _lose_commit_answer(self, value: Any) -> None:
        if value not in {'close', 'silent', ''}:
            raise ValueError("expected 'close', 'silent' or ''")
        self._faults.commit_answer = value

    def _clear(self, value: Any) -> None:
        self._faults.clear()
        self._member.notify()

    def _others(self) -> list['MemberConnection']:
        return [
            connection
            for connection in self._registry
            if connection is not self._caller
        ]


def _switch(value: Any) -> bool:
    return bool(int(value))


def _seconds(value: Any) -> float:
    seconds = float(value) / _MS_PER_S
    if seconds < 0:
        raise ValueError('expected a time of 0 ms or more')
    return seconds


def _names(value: Any) -> set[str]:
    names = (name.strip() for name in str(value).split(','))
    return {name for name in names if name}
