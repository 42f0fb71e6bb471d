"""A configuration as files in a folder: base.ini and an INI for each site."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Final

from cowslipfork.configuration import files_of
from cowslipfork.wire.records_pb2 import ConfigurationRecord
from cowslipfork_admin.connection import read_text
from cowslipfork_admin.errors import CommandFailed
from cowslipfork_admin.exit_code import ExitCode

_BASE: Final = 'base.ini'
_REVISION: Final = 'revision'

#: Settings of a VM; they may lie beside the configuration.
_NODE: Final = 'node.ini'


@dataclass(frozen=True, slots=True)
class Texts:
    """Texts of a configuration.

    Attributes:
        base: text of the base file.
        overlays: texts by site.
    """

    base: str
    overlays: dict[str, str]

    @property
    def files(self) -> dict[str, str]:
        """Texts by the names that problems and differences use."""
        return files_of(self.base, self.overlays)


def texts_of(record: ConfigurationRecord) -> Texts:
    """Takes the texts out of an accepted configuration."""
    return Texts(record.base, dict(record.overlays))


def read_folder(folder: Path) -> Texts:
    """Reads a folder.

    Args:
        folder: holds ``base.ini`` and ``<site>.ini`` files.

    Returns:
        Their texts.

    Raises:
        CommandFailed: a file cannot be read.
    """
    overlays = {
        path.stem: read_text(path)
        for path in sorted(folder.glob('*.ini'))
        if path.name not in {_BASE, _NODE}
    }
    return Texts(read_text(folder / _BASE), overlays)


def write_folder(folder: Path, record: ConfigurationRecord) -> None:
    """Writes an accepted configuration, to be edited.

    Args:
        folder: made if absent.
        record: the configuration.
    """
    folder.mkdir(parents=True, exist_ok=True)
    (folder / _BASE).write_text(record.base)
    for site, overlay in record.overlays.items():
        (folder / f'{site}.ini').write_text(overlay)
    write_revision(folder, record.revision)


def write_revision(folder: Path, revision: int) -> None:
    """Notes which revision a folder started from.

    Args:
        folder: the folder.
        revision: accepted revision with its texts.
    """
    (folder / _REVISION).write_text(f'{revision}\n')


def read_revision(folder: Path) -> int:
    """Reads which revision a folder started from.

    Args:
        folder: the folder.

    Returns:
        The revision.

    Raises:
        CommandFailed: it is not noted there.
    """
    path = folder / _REVISION
    try:
        return int(path.read_text())
    except (OSError, ValueError) as error:
        raise CommandFailed(
            f'{path} is missing or no number; give --expected, or start '
            'with `cowslipfork config show --into`',
            ExitCode.USAGE,
        ) from error
