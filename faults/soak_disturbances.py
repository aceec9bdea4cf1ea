"""Carries out the steps of a plan on the processes of a fleet."""

import asyncio
import contextlib
import os
import resource
import signal
import socket
from pathlib import Path

from kit.members import Service

from faults.processes import Fleet, Program, take_port
from faults.soak_plan import Step
from faults.value_cases import VALUE_CASES

_METRICS_PORT = 9464
_CONNECTIONS = 150
_SPARE_DESCRIPTORS = 12
_READ_BYTES = 65_536
_PORT_ATTEMPTS = 40
_PORT_PAUSE_S = 0.01
_IDLE_PAUSE_S = 0.05


class Output:
    """Reads what a program writes, from a pipe that can be left.

    Parameters
    ----------
    program
        Its file of the log is replaced by a named pipe.
    target
        File that receives the output.
    """

    def __init__(self, program: Program, target: Path) -> None:
        self._pipe = program._folder / 'log'
        self._target = target.open('ab', buffering=0)
        self._descriptor: int | None = None
        self._is_stalled = False
        os.mkfifo(self._pipe)
        self._start_program = program.start
        program.start = self._start
        self.read()

    def read(self) -> None:
        """Read from now on."""
        self._is_stalled = False
        if self._descriptor is None:
            self._descriptor = os.open(self._pipe, os.O_RDONLY | os.O_NONBLOCK)
        asyncio.get_running_loop().add_reader(self._descriptor, self._receive)

    def stall(self) -> None:
        """Read nothing; the pipe fills."""
        self._is_stalled = True
        self._pause()

    def leave(self) -> None:
        """Close the end that is read."""
        self.stall()
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None

    def end(self) -> None:
        """Close the pipe and the file."""
        self._receive()
        self.leave()
        self._target.close()

    def _start(self) -> None:
        # A pipe without a reader can't be opened for writing.
        self.read()
        self._start_program()

    def _receive(self) -> None:
        with contextlib.suppress(BlockingIOError, TypeError):
            while part := os.read(self._descriptor, _READ_BYTES):  # type: ignore[arg-type]
                self._target.write(part)
            # Nobody writes now; without a pause the loop would spin.
            self._pause()
            asyncio.get_running_loop().call_later(
                _IDLE_PAUSE_S, self._read_again
            )

    def _pause(self) -> None:
        if self._descriptor is not None:
            asyncio.get_running_loop().remove_reader(self._descriptor)

    def _read_again(self) -> None:
        is_left = self._descriptor is None or self._target.closed
        if not is_left and not self._is_stalled:
            self.read()


class Disturber:
    """Carries out steps.

    Parameters
    ----------
    fleet
        Processes that are disturbed.
    service
        Service that odd values name.
    outputs
        Output of each program by its name.
    """

    def __init__(
        self, *, fleet: Fleet, service: Service, outputs: dict[str, Output]
    ) -> None:
        self._fleet = fleet
        self._service = service
        self._outputs = outputs
        self._programs = {one.name: one for one in fleet.programs}
        self._actions = {
            'half settings': self._cut_settings,
            'few descriptors': self._use_up_descriptors,
            'freeze': self._freeze,
            'port taken': self._take_port,
            'output stalled': self._stall_output,
            'output gone': self._leave_output,
        }
        self._signals = {
            'hangup': signal.SIGHUP,
            'kill': signal.SIGKILL,
            'terminate': signal.SIGTERM,
        }

    async def carry_out(self, step: Step) -> None:
        """Carry out a step and undo it."""
        self._fleet.record(f'step {step}')
        if step.kind == 'odd value':
            await VALUE_CASES[step.detail](self._fleet, self._service)
            return
        program = self._programs[step.target]
        if step.kind in self._signals:
            program.send_signal(self._signals[step.kind])
        else:
            await self._actions[step.kind](program, step)
        self._fleet.record(f'done {step}')

    async def _cut_settings(self, program: Program, step: Step) -> None:
        path = program._folder / 'local.toml'
        whole = path.read_text()
        path.write_text(whole[: len(whole) // 2])
        await asyncio.sleep(step.lasts_s)
        # A start meanwhile has written the file with other content.
        path.write_text(self._fleet.settings_of(program, False))

    async def _use_up_descriptors(self, program: Program, step: Step) -> None:
        if not program.is_running:
            return
        pid = program.pid
        # Another step may have lowered the limit of the process already.
        ordinary = resource.getrlimit(resource.RLIMIT_NOFILE)
        with contextlib.suppress(OSError):
            used = len(os.listdir(f'/proc/{pid}/fd'))
            resource.prlimit(
                pid,
                resource.RLIMIT_NOFILE,
                (used + _SPARE_DESCRIPTORS, ordinary[1]),
            )
        connections = [self._connect(program) for _ in range(_CONNECTIONS)]
        await asyncio.sleep(step.lasts_s)
        for connection in connections:
            connection.close()
        with contextlib.suppress(OSError):
            resource.prlimit(pid, resource.RLIMIT_NOFILE, ordinary)

    def _connect(self, program: Program) -> socket.socket:
        connection = socket.socket()
        connection.setblocking(False)
        connection.connect_ex(_served(program))
        return connection

    async def _freeze(self, program: Program, step: Step) -> None:
        program.send_signal(signal.SIGSTOP)
        await asyncio.sleep(step.lasts_s)
        program.send_signal(signal.SIGCONT)

    async def _take_port(self, program: Program, step: Step) -> None:
        """Kill the process, and hold a port of it while it starts again."""
        address = _served(program)
        if step.detail == 'metrics':
            address = (program.ip, _METRICS_PORT)
        program.send_signal(signal.SIGKILL)
        taken = None
        for _ in range(_PORT_ATTEMPTS):
            with contextlib.suppress(OSError):
                taken = take_port(*address)
                break
            await asyncio.sleep(_PORT_PAUSE_S)
        await asyncio.sleep(step.lasts_s)
        if taken is not None:
            taken.close()

    async def _stall_output(self, program: Program, step: Step) -> None:
        self._outputs[program.name].stall()
        await asyncio.sleep(step.lasts_s)
        self._outputs[program.name].read()

    async def _leave_output(self, program: Program, step: Step) -> None:
        self._outputs[program.name].leave()
        await asyncio.sleep(step.lasts_s)
        self._outputs[program.name].read()


def _served(program: Program) -> tuple[str, int]:
    address: tuple[str, int] = (
        program.front if program.role == 'proxy' else program.control
    )
    return address
