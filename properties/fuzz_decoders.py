"""Feeds mutated messages to all decoders, as many as asked for."""

import argparse
import sys
import time
from random import Random

from properties.decoder_targets import TARGETS, Target, check

_SHOWN_BYTES = 200


def fuzz(target: Target, inputs: int, seed: int) -> dict[str, bytes]:
    """Return an input for each kind of unexpected error."""
    random = Random(f'{target.name} {seed}')
    found: dict[str, bytes] = {}
    for _ in range(inputs):
        content = target.mutated(random)
        try:
            check(target, content)
        except Exception as error:
            found.setdefault(type(error).__name__, content)
    return found


def main() -> int:
    """Fuzz all decoders whose names hold some words."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('words', nargs='?', default='')
    parser.add_argument('--inputs', type=int, default=1000)
    parser.add_argument('--seed', type=int, default=0)
    options = parser.parse_args()
    failures = 0
    for target in TARGETS:
        if options.words not in target.name:
            continue
        began = time.monotonic()
        inputs = max(1, options.inputs // target.cost)
        found = fuzz(target, inputs, options.seed)
        failures += len(found)
        print(
            f'{target.name}: {inputs} inputs in '
            f'{time.monotonic() - began:.1f} s, {len(found)} kinds of '
            'unexpected errors',
            flush=True,
        )
        for name, content in found.items():
            print(f'  {name}: {content[:_SHOWN_BYTES]!r}', flush=True)
    return 1 if failures else 0


if __name__ == '__main__':
    sys.exit(main())
