"""Writes the processes' lines of a played day to one file a host.

Run as ``python -m tools.day_logs OUTPUT DIRECTORY``; OUTPUT is what the
users' bench printed with ``--log all``. A line of a process stands there
behind the simulated time and the host's name.
"""

import sys
from pathlib import Path

_FIELDS = 3


def split_lines(output: str) -> dict[str, list[str]]:
    """Return the event lines of each host."""
    found: dict[str, list[str]] = {}
    for line in output.splitlines():
        fields = line.split(None, _FIELDS - 1)
        if len(fields) == _FIELDS and fields[2].startswith('{"'):
            found.setdefault(fields[1], []).append(fields[2])
    return found


def main() -> None:
    """Write the files."""
    output, directory = map(Path, sys.argv[1:])
    directory.mkdir(parents=True, exist_ok=True)
    for host, lines in split_lines(output.read_text()).items():
        text = ''.join(f'{line}\n' for line in lines)
        (directory / f'{host}.jsonl').write_text(text)


if __name__ == '__main__':
    main()
