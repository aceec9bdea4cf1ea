"""Cost of the directory of announced members and of replies to hosts.

Run as ``python -m benchmarks.fleet_directory``. The naive version answers
each synchronisation request with the whole directory; a control host answers
with the entries that changed.
"""

import platform
import statistics
import time
from collections.abc import Callable

import msgspec

from lavendergate.core.fleet_directory import (
    FleetDirectory,
    MemberAvailability,
    MemberEntry,
    merge,
)
from lavendergate.core.types import (
    FailureDomain,
    GroupId,
    LogPosition,
    Term,
    UpstreamId,
)
from lavendergate.rpc.fleet_service import (
    FleetVersion,
    PositionNotice,
    PrimaryNotice,
    SyncReply,
)

SERVICES = (3, 100, 800)
MEMBERS = 3
RUNS = 5
_US_PER_S = 1_000_000


def entry(service: int, member: int, sequence: int = 1) -> MemberEntry:
    """Return a member's announcement."""
    return MemberEntry(
        upstream_id=UpstreamId(f'i-{service:06d}{member:04d}'),
        service=GroupId(f'service-{service}'),
        address=f'10.{member}.{service // 250}.{service % 250}:8080',
        failure_domain=FailureDomain(f'domain-{member}'),
        slots=2,
        availability=MemberAvailability.ready,
        is_primary=member == 0,
        born=1_700_000_000_000,
        sequence=sequence,
    )


def build_directory(services: int) -> FleetDirectory:
    """Return a directory with the members of a number of services."""
    entries = tuple(
        entry(service, member)
        for service in range(services)
        for member in range(MEMBERS)
    )
    directory, _ = merge(FleetDirectory(), entries)
    return directory


def reply(
    services: int, entries: tuple[MemberEntry, ...], *, changed_primaries: int
) -> SyncReply:
    """Return the reply to a host's synchronisation request.

    Parameters
    ----------
    changed_primaries
        Number of services whose primary changed.
    """
    return SyncReply(
        version=FleetVersion(source='control-1/0123456789abcdef', version=9),
        is_leader=True,
        leader='10.0.0.1:7400',
        control_hosts=('10.0.0.1:7400', '10.0.0.2:7400', '10.0.0.3:7400'),
        routes_version=7,
        routes=None,
        entries=entries,
        primaries=tuple(
            PrimaryNotice(
                service=GroupId(f'service-{service}'),
                upstream_id=entry(service, 0).upstream_id,
                term=Term(3),
            )
            for service in range(changed_primaries)
        ),
        positions=tuple(
            PositionNotice(
                service=GroupId(f'service-{service}'),
                position=LogPosition(term=Term(3), position=123_456),
                age_ms=400,
            )
            for service in range(services)
        ),
        proxies=9,
    )


def median_us(run: Callable[[], object], repeats: int) -> tuple[float, float]:
    """Return the median time of a call and its range over the runs, in us."""
    times = []
    for _ in range(RUNS):
        begun_at = time.process_time()
        for _ in range(repeats):
            run()
        per_call_us = (time.process_time() - begun_at) / repeats * _US_PER_S
        times.append(per_call_us)
    return statistics.median(times), max(times) - min(times)


def main() -> None:
    """Print the figures for each number of services."""
    print(f'Python {platform.python_version()}, {RUNS} runs each')
    for services in SERVICES:
        directory = build_directory(services)
        announcement = (entry(services // 2, 1, sequence=2),)
        merge_times = median_us(lambda: merge(directory, announcement), 200)  # noqa: B023
        service = GroupId(f'service-{services // 2}')
        lookup_times = median_us(
            lambda: directory.members_of(service),  # noqa: B023
            200,
        )
        unchanged_reply = reply(services, (), changed_primaries=0)
        full_reply = reply(
            services,
            tuple(directory.entries.values()),
            changed_primaries=services,
        )
        encode = msgspec.msgpack.encode
        encode_times = median_us(lambda: encode(unchanged_reply), 50)  # noqa: B023
        naive_times = median_us(lambda: encode(full_reply), 50)  # noqa: B023
        print(
            f'{services:4d} services: announcement {merge_times[0]:7.1f} us '
            f'(spread {merge_times[1]:.1f}); members of a service '
            f'{lookup_times[0]:7.1f} us (spread {lookup_times[1]:.1f}); '
            f'answer without changes '
            f'{len(encode(unchanged_reply)):7d} bytes, '
            f'{encode_times[0]:7.1f} us '
            f'(spread {encode_times[1]:.1f}); whole directory '
            f'{len(encode(full_reply)):7d} bytes, {naive_times[0]:7.1f} us '
            f'(spread {naive_times[1]:.1f})'
        )


if __name__ == '__main__':
    main()
