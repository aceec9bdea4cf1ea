"""What was sent, answered and run in a case."""

import time
from pathlib import Path


class Record:
    """Writes one line for each event to a file."""

    def __init__(self, path: Path) -> None:
        self._file = path.open('w', encoding='utf-8')
        self._began = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the begin of the case."""
        return time.monotonic() - self._began

    def write(self, who: str, what: str) -> None:
        """Write one line."""
        self._file.write(f'{self.now:9.4f} {who}: {what}\n')

    def close(self) -> None:
        """Complete the file."""
        self._file.close()
