"""Reads log lines of nodes, in either of their forms."""

from __future__ import annotations

import json
import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from cowslipfork_admin.errors import CommandFailed
from cowslipfork_admin.exit_code import ExitCode

_PAIR: Final = re.compile(r'([A-Za-z_]\w*)=("[^"]*"|\S+)')

#: Fields that every line has, apart from the event's own.
_FRAME: Final = frozenset(('time', 'asctime', 'level', 'levelname', 'vm'))


@dataclass(frozen=True, slots=True)
class LogLine:
    """One event of one node.

    Attributes:
        time: as written; lines of nodes sort by it.
        vm: node.
        event: its name.
        fields: its own fields.
    """

    time: str
    vm: str
    event: str
    fields: dict[str, str]

    @property
    def words(self) -> str:
        """Fields as ``key=value``, in their order."""
        return ' '.join(f'{key}={text}' for key, text in self.fields.items())


def read_logs(paths: Iterable[Path]) -> list[LogLine]:
    """Reads files and sorts their events by time.

    Args:
        paths: log files; text before the first pair of a line is skipped, so
            that a collector's prefix does no harm.

    Returns:
        All events; lines that are none are left out.

    Raises:
        CommandFailed: a file can't be read.
    """
    lines = [line for path in paths for line in _read(path)]
    return sorted(lines, key=_by_time)


def _by_time(line: LogLine) -> str:
    return line.time


def _read(path: Path) -> Iterator[LogLine]:
    try:
        text = path.read_text(errors='replace')
    except OSError as error:
        raise CommandFailed(
            f'{path}: {error.strerror}',
            ExitCode.FAILED,
        ) from error
    for raw in text.splitlines():
        line = parse_line(raw)
        if line is not None:
            yield line


def parse_line(raw: str) -> LogLine | None:
    """Reads one line.

    Args:
        raw: ``key=value`` pairs or a JSON object, perhaps after a prefix.

    Returns:
        The event; None for a line that is none.
    """
    fields = _json_fields(raw) if '{' in raw else _pair_fields(raw)
    event = fields.pop('event', None)
    time = fields.get('time') or fields.get('asctime')
    if event is None or time is None:
        return None
    own = {key: text for key, text in fields.items() if key not in _FRAME}
    return LogLine(time, fields.get('vm', ''), event, own)


def _json_fields(raw: str) -> dict[str, str]:
    try:
        found = json.loads(raw[raw.index('{') :])
    except ValueError:
        return _pair_fields(raw)
    return {key: str(text) for key, text in found.items()}


def _pair_fields(raw: str) -> dict[str, str]:
    return {key: text.strip('"') for key, text in _PAIR.findall(raw)}
