"""What a case writes down of what was sent, answered and run."""

from pathlib import Path
from threading import Lock
from time import monotonic


class Record:
    """Writes lines with the time since the start to a file."""

    def __init__(self, path: Path) -> None:
        """Opens the file anew."""
        self._file = path.open('w', encoding='utf-8')
        self._lock = Lock()
        self._started_s = monotonic()

    def now_s(self) -> float:
        """Returns the time since the start."""
        return monotonic() - self._started_s

    def note(self, text: str) -> None:
        """Writes one line."""
        with self._lock:
            self._file.write(f'{self.now_s():8.3f} {text}\n')
            self._file.flush()
