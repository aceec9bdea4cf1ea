"""Splits the event log of a simulated day into one file for each host.

Run as ``python -m tools.day_logs OUTPUT DIRECTORY``. OUTPUT is a file with
what the users' bench printed with ``--log all``: each event line of a process
follows the simulated time and the name of the host.
"""

import sys
from pathlib import Path

_FIELDS_PER_LINE = 3


def split_lines(output: str) -> dict[str, list[str]]:
    """Return the JSON event lines of each host, by host name."""
    found: dict[str, list[str]] = {}
    for line in output.splitlines():
        fields = line.split(None, _FIELDS_PER_LINE - 1)
        if len(fields) == _FIELDS_PER_LINE and fields[2].startswith('{"'):
            found.setdefault(fields[1], []).append(fields[2])
    return found


def main() -> None:
    """Write ``DIRECTORY/HOST.jsonl`` for each host."""
    output, directory = map(Path, sys.argv[1:])
    directory.mkdir(parents=True, exist_ok=True)
    for host, lines in split_lines(output.read_text()).items():
        text = ''.join(f'{line}\n' for line in lines)
        (directory / f'{host}.jsonl').write_text(text)


if __name__ == '__main__':
    main()
