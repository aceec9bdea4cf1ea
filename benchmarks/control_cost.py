"""Growth of the cost of control traffic, for docs/CAPACITY.md.

Builds directories of several sizes in this process and measures bytes,
processor time and memory of the messages between hosts. Only the cost of one
unary call is measured over a network connection, the loopback.
"""

import argparse
import asyncio
import statistics
import time
import tracemalloc
from collections.abc import Callable
from functools import partial

import msgspec
from grpclib.client import Channel
from grpclib.server import Server

from lavendergate.controllers.directory import Directory
from lavendergate.core.membership import (
    empty_directory,
    expire,
    receive_announcements,
)
from lavendergate.core.records import HostRecord
from lavendergate.core.reports import Announcement, GroupReport, MemberReport
from lavendergate.core.settings.document import SettingsDocument, SettingValue
from lavendergate.core.share_division import divide_by_demand
from lavendergate.core.shares import (
    MemberShares,
    ShareReport,
    assign_grants,
    record_heartbeat,
    register_proxy,
)
from lavendergate.core.types import (
    FailureDomain,
    GroupId,
    HostId,
    LogPosition,
    MemberRole,
    MemberStatus,
    Region,
    SettingsVersion,
    Term,
    TermStart,
    UpstreamId,
)
from lavendergate.core.watchers import watchers_of
from lavendergate.rpc.announcement_signature import (
    sign_announcement,
    verify_announcement,
)
from lavendergate.rpc.codec import MessagePackCodec
from lavendergate.rpc.messages import (
    HeartbeatReply,
    HeartbeatRequest,
    ShareDemand,
    ShareGrant,
)
from lavendergate.rpc.methods import HEARTBEAT
from lavendergate.rpc.service import UnaryService, call

_KEY = b'capacity'
_US_PER_S = 1_000_000
_KIB = 1024
_MEMBERS = 3
_PORT = 47_311
_CALLS = 400


def announcement(group: int, member: int) -> Announcement:
    """Return the announcement of one member."""
    return Announcement(
        upstream_id=UpstreamId(f'glasdaten-{group}-{member}'),
        group_id=GroupId(f'glasdaten-{group}'),
        region=Region('franken'),
        failure_domain=FailureDomain(f'domain-{member}'),
        host='10.20.30.40',
        port=3306,
        connection_limit=16,
        slots=2,
        leaving=False,
        incarnation='0123456789abcdef',
        status=MemberStatus(
            promised_term=Term(12),
            last_entry=LogPosition(term=Term(12), position=123_456_789),
            role=MemberRole.replica,
            primary_contact_ms=3,
            applied_age_ms=17,
            connections=14,
        ),
    )


def reports(groups: int) -> tuple[GroupReport, ...]:
    """Return the reports of a number of groups of three members."""
    return tuple(
        GroupReport(
            group_id=GroupId(f'glasdaten-{group}'),
            term=Term(12),
            primary=UpstreamId(f'glasdaten-{group}-0'),
            member_ids=frozenset(
                UpstreamId(f'glasdaten-{group}-{member}')
                for member in range(_MEMBERS)
            ),
            members=tuple(
                MemberReport(
                    announcement=announcement(group, member), age_ms=40
                )
                for member in range(_MEMBERS)
            ),
            term_history=tuple(
                TermStart(term=Term(term), first_position=term * 1000)
                for term in range(1, 13)
            ),
        )
        for group in range(groups)
    )


def reply(
    groups: tuple[GroupReport, ...] | None, shares: int
) -> HeartbeatReply:
    """Return the reply to a heartbeat, with a number of granted shares."""
    return HeartbeatReply(
        problem=None,
        leader='10.20.30.40:7033',
        has_quorum=True,
        settings=None,
        directory_version=1 << 33,
        groups=groups,
        shares=tuple(
            ShareGrant(
                upstream_id=UpstreamId(f'glasdaten-{index}-0'),
                connections=2,
                reserved=1,
                lease_s=3,
            )
            for index in range(shares)
        ),
        probe=(),
        clock=1 << 56,
    )


def request(members: int) -> HeartbeatRequest:
    """Return the heartbeat of a proxy with pools to a number of members."""
    return HeartbeatRequest(
        host_id=HostId('entry-1'),
        incarnation='0123456789abcdef',
        region=Region('franken'),
        failure_domain=FailureDomain('nue-sued'),
        address='10.20.30.40:6033',
        settings_version=SettingsVersion(720),
        directory_version=1 << 33,
        demands=tuple(
            ShareDemand(
                upstream_id=UpstreamId(f'glasdaten-{index}-0'),
                open_connections=2,
                wanted_connections=1,
                granted_connections=2,
            )
            for index in range(members)
        ),
        probes=(),
        suspected=(),
        announcements=(),
        draining=False,
        clock=1 << 56,
    )


def _encode_request(members: int) -> bytes:
    return msgspec.msgpack.encode(request(members))


def time_calls(action: Callable[[], object], runs: int) -> tuple[float, ...]:
    """Return the lowest, median and highest time of a call, in us.

    Each run repeats the call for 50 ms of processor time.
    """
    samples = []
    for _ in range(runs):
        count = 0
        begun_at = time.process_time()
        while time.process_time() - begun_at < 0.05:
            action()
            count += 1
        samples.append((time.process_time() - begun_at) / count * _US_PER_S)
    return min(samples), statistics.median(samples), max(samples)


def print_times(name: str, times: tuple[float, ...], note: str = '') -> None:
    """Print the lowest, median and highest time of one measurement."""
    low, median, high = times
    print(f'{name:46} {median:10.1f} us ({low:.1f} to {high:.1f}) {note}')


def measure_messages(runs: int) -> None:
    """Measure heartbeat messages by number of groups and of pools."""
    encode = msgspec.msgpack.encode
    decoder = msgspec.msgpack.Decoder(HeartbeatReply)
    for groups in (3, 16, 100, 800):
        full_reply = reply(reports(groups), groups * _MEMBERS)
        data = encode(full_reply)
        size = f'{len(data)} bytes'
        print_times(
            f'reply, {groups} groups: encode',
            time_calls(partial(encode, full_reply), runs),
            size,
        )
        print_times(
            f'reply, {groups} groups: decode',
            time_calls(partial(decoder.decode, data), runs),
        )
        directory = Directory()
        print_times(
            f'reply, {groups} groups: apply',
            time_calls(
                partial(
                    directory.update, full_reply.groups or (), version=1, now=1
                ),
                runs,
            ),
        )
    for members in (9, 48, 2400):
        data = encode(request(members))
        print_times(
            f'request, {members} pools: encode',
            time_calls(partial(_encode_request, members), runs),
            f'{len(data)} bytes',
        )


def measure_announcements(runs: int) -> None:
    """Measure signing and verifying an announcement."""
    member_announcement = announcement(1, 1)
    signed = sign_announcement(member_announcement, _KEY)
    print_times(
        'announcement: sign',
        time_calls(lambda: sign_announcement(member_announcement, _KEY), runs),
        f'{len(signed)} bytes',
    )
    print_times(
        'announcement: verify and decode',
        time_calls(lambda: verify_announcement(signed, _KEY), runs),
    )


def measure_leader(runs: int) -> None:
    """Measure the control leader's decisions by size of the system."""
    for members in (9, 240, 2400):
        announced = [
            announcement(index // _MEMBERS, index % _MEMBERS)
            for index in range(members)
        ]
        directory, _errors = receive_announcements(
            empty_directory(epoch=1, now=0), announced, 1
        )
        print_times(
            f'directory, {members} members: 10 announcements',
            time_calls(
                partial(receive_announcements, directory, announced[:10], 1.1),
                runs,
            ),
        )
        print_times(
            f'directory, {members} members: expiry',
            time_calls(partial(expire, directory, 1.2), runs),
        )
    for hosts in (9, 100, 610):
        records = [
            HostRecord(
                host_id=HostId(f'entry-{index}'),
                incarnation='0123456789abcdef',
                region=Region('franken'),
                failure_domain=FailureDomain(f'domain-{index % 6}'),
                address=f'10.0.0.1:{index}',
            )
            for index in range(hosts)
        ]
        print_times(
            f'watchers of one member among {hosts} hosts',
            time_calls(
                partial(watchers_of, UpstreamId('glasdaten-1-0'), records),
                runs,
            ),
        )
    for proxies in (3, 9, 13):
        shares = MemberShares(limit=40, slots=3, started_at=0, is_checked=True)
        for index in range(proxies):
            host_id = HostId(f'entry-{index}')
            shares = register_proxy(shares, host_id, 5)
            report = ShareReport(opened=1, wanted=3, granted=1)
            shares = record_heartbeat(shares, host_id, report, 5)
        print_times(
            f'shares of one member, {proxies} proxies: assign',
            time_calls(
                partial(assign_grants, shares, divide_by_demand, 6), runs
            ),
        )


def measure_memory() -> None:
    """Measure the memory of the directory and the size of the settings."""
    for groups in (3, 16, 100, 800):
        data = msgspec.msgpack.encode(reports(groups))
        tracemalloc.start()
        directory = Directory()
        directory.update(
            msgspec.msgpack.decode(data, type=tuple[GroupReport, ...]),
            version=1,
            now=1,
        )
        size = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        print(
            f'directory, {groups} groups: {size / _KIB:.0f} KiB, '
            f'{size / groups:.0f} bytes a group'
        )
    for groups in (3, 100, 800):
        nodes: dict[str, dict[str, SettingValue]] = {
            f'/franken/glasdaten-{group}/caller-{caller}': {
                'statement.deadline_ms': 2000,
                'queue.class': 'billing',
            }
            for group in range(groups)
            for caller in range(5)
        }
        document = SettingsDocument(version=SettingsVersion(1), nodes=nodes)
        size = len(msgspec.msgpack.encode(document))
        print(f'settings, {groups} groups of 5 callers: {size} bytes')


async def measure_calls(runs: int) -> None:
    """Measure the processor time of unary calls, client and server."""
    heartbeat_reply = reply(None, 48)

    async def heartbeat(_request: HeartbeatRequest) -> HeartbeatReply:
        return heartbeat_reply

    server = Server(
        [UnaryService(implementations={HEARTBEAT: heartbeat})],
        codec=MessagePackCodec(),
    )
    await server.start('127.0.0.1', _PORT)
    channel = Channel('127.0.0.1', _PORT, codec=MessagePackCodec())
    heartbeat_request = request(48)
    samples = []
    for _ in range(runs):
        begun_at = time.process_time()
        for _call in range(_CALLS):
            await call(channel, HEARTBEAT, heartbeat_request, timeout_s=1)
        samples.append((time.process_time() - begun_at) / _CALLS * _US_PER_S)
    times = (min(samples), statistics.median(samples), max(samples))
    print_times('heartbeat call, 48 pools: both ends', times)
    channel.close()
    server.close()


def main() -> None:
    """Run from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--runs', type=int, default=7)
    runs = parser.parse_args().runs
    print(f'processor time, median of {runs} runs (lowest to highest)')
    measure_messages(runs)
    measure_announcements(runs)
    measure_leader(runs)
    measure_memory()
    asyncio.run(measure_calls(runs))


if __name__ == '__main__':
    main()
