"""Replaces a primary that is cut off while a replica is away.

Run as ``python -m demo.returned_replica``.

Callers of the MySQL protocol write through three hosts. A replica is killed,
the primary is cut off from two of the hosts and from the other replica, and the
host that still reaches it freezes. Once control replaces the primary, the
killed replica comes back and the host goes on. Each acknowledged write has to
be on the primary in the end, as in the demo.
"""

import argparse
import asyncio
import shutil
import signal
import sys
import tempfile
import time
from pathlib import Path

from demo.__main__ import Demo, DemoError
from demo.members import call_fault, find_primary
from demo.processes import Fleet, Member, make_fleet

_BEGIN_S = 4.5
_ABSENT_S = 2.5
_FREEZE_AFTER_S = 0.5
_FREEZE_S = 1.4
_HEAL_AFTER_S = 4.0


class ReturnedReplicaDemo(Demo):
    """One run with a replica that returns.

    Parameters
    ----------
    return_s
        Time from the cut to the return of the replica, in seconds.
    is_frozen
        Whether the host that still reaches the primary freezes.
    """

    def __init__(
        self, *, fleet: Fleet, return_s: float, is_frozen: bool
    ) -> None:
        super().__init__(fleet=fleet)
        self._return_s = return_s
        self._is_frozen = is_frozen

    async def _kill_primary(self, group: str) -> float:
        await asyncio.sleep(_BEGIN_S)
        primary = await asyncio.to_thread(
            find_primary, self._fleet.members, group
        )
        if primary is None:
            raise DemoError(f'{group} has no primary')
        near, *far = self._fleet.daemons
        candidate, absent = (
            member
            for member in self._fleet.members
            if member.group == group and member != primary
        )
        self._print_progress(f'killing {absent.upstream_id}, a replica')
        self._fleet.kill(absent.upstream_id)
        await asyncio.sleep(_ABSENT_S)
        self._print_progress(f'cutting {primary.upstream_id} off')
        names = ','.join(host.host_id for host in far)
        await self._set_fault(candidate, 'cut_replication', '1')
        await self._set_fault(primary, 'blackhole', names)
        cut_at = time.monotonic()
        async with asyncio.TaskGroup() as tasks:
            if self._is_frozen:
                tasks.create_task(self._freeze(near.host_id))
            await asyncio.sleep(self._return_s)
            self._print_progress(f'restarting {absent.upstream_id}')
            self._fleet.start_member(absent)
        await asyncio.sleep(_HEAL_AFTER_S)
        self._print_progress('the partition ends')
        for member in (primary, candidate):
            await self._set_fault(member, 'clear', '')
        return cut_at

    async def _freeze(self, name: str) -> None:
        process = self._fleet.processes[name]
        await asyncio.sleep(_FREEZE_AFTER_S)
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(_FREEZE_S)
        process.send_signal(signal.SIGCONT)

    async def _set_fault(self, member: Member, name: str, value: str) -> None:
        await asyncio.to_thread(call_fault, member, name, value)


def main() -> int:
    """Run the plays; return 0 if no violation was found in any of them."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--return-s', type=float, nargs='*', default=[1.5])
    parser.add_argument('--no-freeze', action='store_true')
    chosen = parser.parse_args()
    failures = 0
    for return_s in chosen.return_s:
        directory = Path(tempfile.mkdtemp(prefix='lavendergate-demo-'))
        fleet = make_fleet(directory)
        print(f'== replica back {return_s:g} s after the cut; {directory}')
        try:
            is_clean = ReturnedReplicaDemo(
                fleet=fleet,
                return_s=return_s,
                is_frozen=not chosen.no_freeze,
            ).run()
        except DemoError as error:
            print(f'failed: {error}')
            is_clean = False
        finally:
            fleet.stop()
        failures += not is_clean
        if is_clean:
            shutil.rmtree(directory, ignore_errors=True)
    print(f'{len(chosen.return_s) - failures} passed, {failures} failed')
    return 1 if failures else 0


if __name__ == '__main__':
    sys.exit(main())
