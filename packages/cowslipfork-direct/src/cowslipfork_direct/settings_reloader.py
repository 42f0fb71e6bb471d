"""Reloads the settings file when it has changed, on a signal or by polling."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import fields
from pathlib import Path
from typing import Final

from cowslipfork.configuration import DirectSettings, direct_settings

log = logging.getLogger(__name__)

#: Seconds between two checks of the file.
POLL_INTERVAL: Final = 2.0

#: Settings that take effect without a restart.
RELOADABLE: Final = frozenset(('grace', 'log_format', 'log_lines'))


class SettingsReloader:
    """Keeps the node's settings current with their file."""

    def __init__(
        self,
        path: Path,
        settings: DirectSettings,
        apply: Callable[[DirectSettings], None],
    ) -> None:
        """Assumes that the settings are those of the file's current text.

        Args:
            path: path of the settings file.
            settings: settings that were read from it at the start.
            apply: called with the new settings after each change.
        """
        self._path = path
        self._settings = settings
        self._apply = apply
        self._text = _read(path)

    @property
    def settings(self) -> DirectSettings:
        """Settings of the last valid file; some need a restart to apply."""
        return self._settings

    async def run(self) -> None:
        """Checks the file regularly until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL)
            self.reload_if_changed()

    def reload_if_changed(self) -> None:
        """Applies the file's settings if its text has changed.

        A file that cannot be read or has mistakes is logged and changes
        nothing.
        """
        text = _read(self._path)
        if text is None or text == self._text:
            return
        self._text = text
        read = direct_settings(text, str(self._path))
        if read.is_error():
            log.error(
                'settings_refused',
                extra={'problems': str(read.error)},
            )
            return
        changed = _changed_names(self._settings, read.ok)
        self._settings = read.ok
        self._apply(read.ok)
        log.warning(
            'settings_reloaded',
            extra={
                'changed': ','.join(changed & RELOADABLE),
                'after_restart': ','.join(changed - RELOADABLE),
            },
        )


def _read(path: Path) -> str | None:
    try:
        return path.read_text()
    except OSError as error:
        log.error('settings_unreadable', extra={'cause': str(error)})
        return None


def _changed_names(
    one: DirectSettings, other: DirectSettings
) -> frozenset[str]:
    return frozenset(
        field.name
        for field in fields(DirectSettings)
        if getattr(one, field.name) != getattr(other, field.name)
    )
