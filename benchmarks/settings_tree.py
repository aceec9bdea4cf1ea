"""Time to apply changes and to resolve effective settings, by tree size.

Run as ``python -m benchmarks.settings_tree``. The naive way resolves each
call from the document; the tree remembers what it resolved.
"""

import gc
import platform
import statistics
import time
from collections.abc import Callable
from random import Random

import msgspec

from lavendergate.core.commands import SettingChange
from lavendergate.core.settings.document import SettingsDocument
from lavendergate.core.settings.paths import SettingsTarget
from lavendergate.core.settings.tree import (
    SettingsTree,
    apply_changes,
    effective_changes,
    effective_settings,
    validate_change,
)
from lavendergate.core.types import CallerId, GroupId, Region

GROUPS = (1, 100, 800)
CALLERS = 5
REGIONS = 2
REPLAYED_CHANGES = 720
RUNS = 5
SEED = 1
_US_PER_S = 1_000_000


def places_of(groups: int) -> list[SettingsTarget]:
    """Return the callers of all groups."""
    return [
        SettingsTarget(
            region=Region(f'region-{group % REGIONS}'),
            group=GroupId(f'group-{group:03}'),
            caller=CallerId(f'caller-{caller}'),
        )
        for group in range(groups)
        for caller in range(CALLERS)
    ]


def build(places: list[SettingsTarget]) -> SettingsDocument:
    """Return a tree in which each group and caller overrides keys."""
    document = SettingsDocument()
    for place in places:
        group_path = place.path.rpartition('/')[0]
        changes = [
            SettingChange(path=group_path, key='queue.limit', value=300),
            SettingChange(path=place.path, key='read.max_age_ms', value=500),
            SettingChange(path=place.path, key='caller.concurrency', value=9),
        ]
        document = apply_changes(document, changes)
    return document


def change_at(place: SettingsTarget, chance: Random) -> list[SettingChange]:
    """Return a change of one caller."""
    value = chance.randrange(10_000)
    return [SettingChange(path=place.path, key='read.max_age_ms', value=value)]


def timed(action: Callable[[], int]) -> float:
    """Return the time of one of the calls that an action makes, in us."""
    gc.collect()
    begun_at = time.perf_counter()
    calls = action()
    return (time.perf_counter() - begun_at) / calls * _US_PER_S


def measure(groups: int, chance: Random) -> dict[str, float]:
    """Return the times of one run, in microseconds for each call."""
    places = places_of(groups)
    document = build(places)
    changes = [
        change_at(chance.choice(places), chance)
        for _ in range(REPLAYED_CHANGES)
    ]

    def validate() -> int:
        for change in changes:
            validate_change(document, change).unwrap()
        return len(changes)

    def replay() -> int:
        replayed = document
        for change in changes:
            replayed = apply_changes(replayed, change)
        assert replayed.version == document.version + len(changes)
        return len(changes)

    def dry_run() -> int:
        root = SettingChange(path='/', key='connection.idle_s', value=60)
        assert len(effective_changes(document, [root], places)) == len(places)
        return 1

    def resolve_naively() -> int:
        for place in places:
            effective_settings(
                document, place.region, place.group, place.caller
            )
        return len(places)

    tree = SettingsTree(document)

    def resolve() -> int:
        for place in places:
            tree.effective_settings(place.region, place.group, place.caller)
        return len(places)

    return {
        'check a change': timed(validate),
        'apply a change, 720 replayed': timed(replay),
        'dry run of a change at the root': timed(dry_run),
        'resolve, naive': timed(resolve_naively),
        'resolve, first time in a version': timed(resolve),
        'resolve, again': timed(resolve),
    }


def main() -> None:
    """Print the figures of all sizes."""
    print(
        f'Python {platform.python_version()}, {RUNS} runs, seed {SEED}, '
        f'{CALLERS} callers a group, {REGIONS} regions; us a call'
    )
    for groups in GROUPS:
        document = build(places_of(groups))
        size = len(msgspec.msgpack.encode(document))
        print(
            f'\n{groups} groups: {len(document.nodes)} nodes, document '
            f'{size:,} bytes'
        )
        chance = Random(SEED)
        runs = [measure(groups, chance) for _ in range(RUNS)]
        for name in runs[0]:
            times = [run[name] for run in runs]
            print(
                f'  {name:<34} median {statistics.median(times):>10.2f}  '
                f'min {min(times):>10.2f}  max {max(times):>10.2f}'
            )


if __name__ == '__main__':
    main()
