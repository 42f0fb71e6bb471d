"""What was sent, answered and run, with the time since the start."""

import time


class Record:
    """Writes lines to ``record.txt`` of a case."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._begun = time.monotonic()

    @property
    def now(self):
        """Seconds since the start."""
        return time.monotonic() - self._begun

    def note(self, *words):
        """Writes a line."""
        line = ' '.join(map(str, words))
        self._file.write(f'{self.now:8.3f} {line}\n')

    def tell(self, *words):
        """Writes a line and prints it."""
        self.note(*words)
        print(*words, flush=True)

    def close(self):
        self._file.close()
