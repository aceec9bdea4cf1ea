"""Time to apply changes and to resolve effective settings, by tree size.

Run as ``python -m benchmarks.settings_tree``. The naive version resolves
each call from the document; the tree caches the settings that it resolved.
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


def caller_targets(groups: int) -> list[SettingsTarget]:
    """Return the targets of all callers of all groups."""
    return [
        SettingsTarget(
            region=Region(f'region-{group % REGIONS}'),
            group=GroupId(f'group-{group:03}'),
            caller=CallerId(f'caller-{caller}'),
        )
        for group in range(groups)
        for caller in range(CALLERS)
    ]


def build_document(targets: list[SettingsTarget]) -> SettingsDocument:
    """Return a document in which each group and caller overrides keys."""
    document = SettingsDocument()
    for target in targets:
        group_path = target.path.rpartition('/')[0]
        changes = [
            SettingChange(path=group_path, key='queue.limit', value=300),
            SettingChange(path=target.path, key='read.max_age_ms', value=500),
            SettingChange(path=target.path, key='caller.concurrency', value=9),
        ]
        document = apply_changes(document, changes)
    return document


def random_change(
    target: SettingsTarget, random_source: Random
) -> list[SettingChange]:
    """Return a change of one caller's settings to a random value."""
    value = random_source.randrange(10_000)
    return [SettingChange(path=target.path, key='read.max_age_ms', value=value)]


def microseconds_per_call(action: Callable[[], int]) -> float:
    """Return the mean time of the calls that an action makes, in us.

    Parameters
    ----------
    action
        Makes the calls and returns their number.
    """
    gc.collect()
    begun_at = time.perf_counter()
    calls = action()
    return (time.perf_counter() - begun_at) / calls * _US_PER_S


def measure(groups: int, random_source: Random) -> dict[str, float]:
    """Return the times of one run, in microseconds per call."""
    targets = caller_targets(groups)
    document = build_document(targets)
    changes = [
        random_change(random_source.choice(targets), random_source)
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
        assert len(effective_changes(document, [root], targets)) == len(targets)
        return 1

    def resolve_naively() -> int:
        for target in targets:
            effective_settings(
                document, target.region, target.group, target.caller
            )
        return len(targets)

    tree = SettingsTree(document)

    def resolve() -> int:
        for target in targets:
            tree.effective_settings(target.region, target.group, target.caller)
        return len(targets)

    return {
        'check a change': microseconds_per_call(validate),
        'apply a change, 720 replayed': microseconds_per_call(replay),
        'dry run of a change at the root': microseconds_per_call(dry_run),
        'resolve, naive': microseconds_per_call(resolve_naively),
        'resolve, first time in a version': microseconds_per_call(resolve),
        'resolve, again': microseconds_per_call(resolve),
    }


def main() -> None:
    """Print the figures of all sizes."""
    print(
        f'Python {platform.python_version()}, {RUNS} runs, seed {SEED}, '
        f'{CALLERS} callers a group, {REGIONS} regions; us a call'
    )
    for groups in GROUPS:
        document = build_document(caller_targets(groups))
        size = len(msgspec.msgpack.encode(document))
        print(
            f'\n{groups} groups: {len(document.nodes)} nodes, document '
            f'{size:,} bytes'
        )
        random_source = Random(SEED)
        runs = [measure(groups, random_source) for _ in range(RUNS)]
        for name in runs[0]:
            times = [run[name] for run in runs]
            print(
                f'  {name:<34} median {statistics.median(times):>10.2f}  '
                f'min {min(times):>10.2f}  max {max(times):>10.2f}'
            )


if __name__ == '__main__':
    main()
