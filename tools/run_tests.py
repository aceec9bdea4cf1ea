"""Runs the test suite with nose2 and reports the runner's own counts.

Tests listed in KNOWN-RED.txt may fail: they are printed and do not change
the exit status. A listed test that passes fails the run, so that mended
tests are removed from the list.
"""

import os
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path
from xml.etree import ElementTree

_ROOT = Path(__file__).resolve().parent.parent
_REPORT = _ROOT / 'build' / 'junit.xml'
_OUTPUT = _ROOT / 'build' / 'tests.log'
_CHUNK_BYTES = 65536
_KNOWN_FAILURES = _ROOT / 'KNOWN-RED.txt'


@dataclass(frozen=True, kw_only=True, slots=True)
class TestCounts:
    """Names of tests by result, as the test runner reported them."""

    passed: frozenset[str]
    failed: frozenset[str]
    skipped: frozenset[str]


def read_report(path: Path) -> TestCounts:
    """Read a JUnit report written by nose2."""
    passed, failed, skipped = set(), set(), set()
    for case in ElementTree.parse(path).getroot().iter('testcase'):
        name = f'{case.get("classname")}.{case.get("name")}'
        if case.find('failure') is not None or case.find('error') is not None:
            failed.add(name)
        elif case.find('skipped') is not None:
            skipped.add(name)
        else:
            passed.add(name)
    return TestCounts(
        passed=frozenset(passed),
        failed=frozenset(failed),
        skipped=frozenset(skipped),
    )


def read_known_red(path: Path) -> frozenset[str]:
    """Read the names of tests that are known to fail."""
    if not path.exists():
        return frozenset()
    prefix = 'test: '
    lines = path.read_text().splitlines()
    return frozenset(
        line.removeprefix(prefix).strip()
        for line in lines
        if line.startswith(prefix)
    )


def _run_and_keep(command: list[str]) -> None:
    """Run a command; show its output, and keep all of it in `_OUTPUT`.

    The names of tests that fail now and then were lost where only the end of
    the output had been kept.
    """
    reader, writer = os.pipe()
    process = subprocess.Popen(
        command, cwd=_ROOT, stdout=writer, stderr=subprocess.STDOUT
    )
    os.close(writer)
    with open(reader, 'rb', buffering=0) as output, _OUTPUT.open('wb') as kept:
        while chunk := output.read(_CHUNK_BYTES):
            kept.write(chunk)
            sys.stdout.buffer.write(chunk)
            sys.stdout.flush()
    process.wait()


def main() -> int:
    """Run nose2, print the counts and return the exit status."""
    _REPORT.parent.mkdir(exist_ok=True)
    _REPORT.unlink(missing_ok=True)
    _run_and_keep([sys.executable, '-m', 'nose2', *sys.argv[1:]])
    if not _REPORT.exists():
        print('the test runner wrote no report; see its output above')
        return 1
    counts = read_report(_REPORT)
    known_red = read_known_red(_KNOWN_FAILURES)
    unexpected = counts.failed - known_red
    repaired = known_red & counts.passed
    for name in sorted(counts.failed & known_red):
        print(f'known red: {name}')
    for name in sorted(unexpected):
        print(f'failed: {name}')
    for name in sorted(repaired):
        print(f'listed in KNOWN-RED.txt but passes: {name}')
    print(f'{len(counts.passed)} passed, {len(unexpected)} failed')
    return 1 if unexpected or repaired or not counts.passed else 0


if __name__ == '__main__':
    sys.exit(main())
