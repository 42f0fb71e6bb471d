"""Logs: one line of key=value pairs, or of JSON, for each event."""

from __future__ import annotations

import logging
import sys
from typing import Final

from pythonjsonlogger.json import JsonFormatter

from cowslipfork.configuration import LogFormat

#: Attributes that every record has; all others are the event's own fields.
_STANDARD: Final = frozenset(
    (*logging.makeLogRecord({}).__dict__, 'message', 'asctime', 'taskName'),
)


class KeyValueFormatter(logging.Formatter):
    """Formats an event as ``time=... level=... event=... key=value``."""

    def __init__(self, vm: str) -> None:
        """Remembers whose events they are.

        Args:
            vm: name of the VM.
        """
        super().__init__()
        self._vm = vm

    def format(self, record: logging.LogRecord) -> str:
        """Formats one event.

        Args:
            record: the event; its message names it, ``extra`` has its fields.

        Returns:
            One line.
        """
        pairs = {
            'time': self.formatTime(record),
            'level': record.levelname.lower(),
            'vm': self._vm,
            'event': record.getMessage(),
            **fields_of(record),
        }
        if record.exc_info:
            pairs['error'] = self.formatException(record.exc_info)
        return ' '.join(f'{key}={_quoted(pairs[key])}' for key in pairs)


def fields_of(record: logging.LogRecord) -> dict[str, object]:
    """Gives an event's own fields.

    Args:
        record: the event.

    Returns:
        Fields by name.
    """
    return {
        key: field
        for key, field in record.__dict__.items()
        if key not in _STANDARD
    }


def formatter_of(vm: str, log_format: LogFormat) -> logging.Formatter:
    """Gives the formatter of log lines.

    Args:
        vm: name of the VM.
        log_format: how a line is written.
    """
    if log_format is LogFormat.KEY_VALUE:
        return KeyValueFormatter(vm)
    return JsonFormatter(
        '%(asctime)s %(levelname)s %(message)s',
        rename_fields={'message': 'event'},
        static_fields={'vm': vm},
    )


def set_up_logs(
    vm: str,
    log_format: LogFormat,
    handler: logging.Handler | None = None,
) -> None:
    """Sends events to standard output.

    Args:
        vm: name of the VM.
        log_format: how a line is written.
        handler: writes the lines; None for a stream that may block.
    """
    output = handler or logging.StreamHandler(sys.stdout)
    output.setFormatter(formatter_of(vm, log_format))
    logging.basicConfig(level=logging.INFO, handlers=[output], force=True)
    # The library logs free text of its own for each connection.
    logging.getLogger('mysql_mimic').setLevel(logging.CRITICAL)


def _quoted(field: object) -> str:
    text = str(field).replace('\n', ' | ')
    if not text or set(text) & {' ', '=', '"'}:
        escaped = text.replace('"', "'")
        return f'"{escaped}"'
    return text
