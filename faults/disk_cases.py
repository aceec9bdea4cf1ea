"""Disks of a formed control group that refuse writes for a time."""

import asyncio
import json
import resource

from kit import http
from kit.clients import configuration, publish
from kit.fleet import CannotRunError

from faults.processes import Fleet, Record

_FORM_S = 14.0
_REFUSED_S = 4.0
_RECOVER_S = 10.0
_OK = 200

# Number of control hosts whose disks refuse.
DISK_GROUP_CASES: dict[str, int] = {
    f'disks of {number} of 3 control hosts refuse writes for 4 s': number
    for number in (1, 2, 3)
}


async def play_disk_group_case(name: str, record: Record) -> str:
    """Refuse the writes of some disks; return what was seen."""
    number = DISK_GROUP_CASES[name]
    fleet = Fleet(record, '127.0.0.1:9', control=3, proxies=0)
    try:
        fleet.start()
        await asyncio.wait_for(publish(fleet, configuration(1, [])), _FORM_S)
        _limit_writes(fleet, number, 0)
        try:
            await publish(fleet, configuration(2, []), within_s=_REFUSED_S)
        except CannotRunError:
            pass
        else:
            if number > 1 and not _own_ends(fleet):
                return 'a change was acknowledged without a majority of disks'
        _limit_writes(fleet, number, resource.RLIM_INFINITY)
        try:
            await publish(fleet, configuration(3, []), within_s=_RECOVER_S)
        except CannotRunError as error:
            return repr(error)
        ends = _own_ends(fleet)
        if ends:
            return f'control hosts ended by themselves {ends} times'
        return await _older_reading(fleet)
    finally:
        await fleet.stop()


def _own_ends(fleet: Fleet) -> int:
    return sum(len(host.own_ends) for host in fleet.control)


def _limit_writes(fleet: Fleet, number: int, limit_bytes: int) -> None:
    for host in fleet.control[:number]:
        if host.is_running:
            resource.prlimit(
                host.pid,
                resource.RLIMIT_FSIZE,
                (limit_bytes, resource.RLIM_INFINITY),
            )


async def _older_reading(fleet: Fleet) -> str:
    for host in fleet.control:
        answer = await http.call(host.control, 'GET', '/config')
        if answer is None or answer[0] != _OK:
            continue
        version = json.loads(answer[1])['version']
        if version != 3:
            return f'{host.name} reads version {version} back'
    return ''
