"""Cost of the directory of announced members and of the hosts' questions.

Run as ``python -m benchmarks.fleet_directory``. The naive way answers each
question with the whole directory; the hub answers with what changed.
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


def directory_of(services: int) -> FleetDirectory:
    """Return a directory of all members."""
    heard = tuple(
        entry(service, member)
        for service in range(services)
        for member in range(MEMBERS)
    )
    directory, _ = merge(FleetDirectory(), heard)
    return directory


def reply(
    services: int, entries: tuple[MemberEntry, ...], *, changed: int
) -> SyncReply:
    """Return the answer to a host's question.

    Parameters
    ----------
    changed
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
            for service in range(changed)
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
    """Return the median time of a call and the spread over the runs."""
    times = []
    for _ in range(RUNS):
        began = time.process_time()
        for _ in range(repeats):
            run()
        taken = (time.process_time() - began) / repeats * _US_PER_S
        times.append(taken)
    return statistics.median(times), max(times) - min(times)


def main() -> None:
    """Print the figures for each size."""
    print(f'Python {platform.python_version()}, {RUNS} runs each')
    for services in SERVICES:
        directory = directory_of(services)
        beat = (entry(services // 2, 1, sequence=2),)
        merged = median_us(lambda: merge(directory, beat), 200)  # noqa: B023
        service = GroupId(f'service-{services // 2}')
        looked_up = median_us(
            lambda: directory.members_of(service),  # noqa: B023
            200,
        )
        small = reply(services, (), changed=0)
        full = reply(
            services, tuple(directory.entries.values()), changed=services
        )
        encode = msgspec.msgpack.encode
        changed = median_us(lambda: encode(small), 50)  # noqa: B023
        naive = median_us(lambda: encode(full), 50)  # noqa: B023
        print(
            f'{services:4d} services: announcement {merged[0]:7.1f} us '
            f'(spread {merged[1]:.1f}); members of a service '
            f'{looked_up[0]:7.1f} us (spread {looked_up[1]:.1f}); '
            f'answer without changes '
            f'{len(encode(small)):7d} bytes, {changed[0]:7.1f} us '
            f'(spread {changed[1]:.1f}); whole directory '
            f'{len(encode(full)):7d} bytes, {naive[0]:7.1f} us '
            f'(spread {naive[1]:.1f})'
        )


if __name__ == '__main__':
    main()
