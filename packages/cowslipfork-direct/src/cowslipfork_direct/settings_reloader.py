"""Takes over a settings file that has changed, with a signal or without."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import fields
from pathlib import Path
from typing import Final

from cowslipfork.configuration import DirectSettings, direct_settings

log = logging.getLogger(__name__)

#: Seconds between two looks at the file.
LOOK_PAUSE: Final = 2.0

#: Settings that take effect in a running process.
RELOADABLE: Final = frozenset(('grace', 'log_format', 'log_lines'))


class SettingsReloader:
    """The settings in effect and the file that they come from."""

    def __init__(
        self,
        path: Path,
        settings: DirectSettings,
        apply: Callable[[DirectSettings], None],
    ) -> None:
        """Takes the settings for those of the file.

        Args:
            path: the file.
            settings: what was read from it at the start.
            apply: puts changed settings into effect.
        """
        self._path = path
        self._settings = settings
        self._apply = apply
        self._text = _read(path)

    @property
    def settings(self) -> DirectSettings:
        """Settings in effect; some of them only after a restart."""
        return self._settings

    async def run(self) -> None:
        """Looks at the file until cancelled."""
        while True:
            await asyncio.sleep(LOOK_PAUSE)
            self.reload_if_changed()

    def reload_if_changed(self) -> None:
        """Takes the file over if it has changed."""
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
        changed = _changed(self._settings, read.ok)
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


def _changed(one: DirectSettings, other: DirectSettings) -> frozenset[str]:
    return frozenset(
        field.name
        for field in fields(DirectSettings)
        if getattr(one, field.name) != getattr(other, field.name)
    )
