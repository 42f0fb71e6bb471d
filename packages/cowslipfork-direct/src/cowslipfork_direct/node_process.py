"""The process of a node: its settings file and its signals."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Final, NoReturn

from cowslipfork.configuration import DirectSettings, direct_settings

#: Exit status for settings that are missing, unreadable or invalid.
EXIT_BAD_SETTINGS: Final = 2


@dataclass(frozen=True, slots=True)
class Arguments:
    """The command line of a node.

    Attributes:
        path: settings file.
        check_only: whether only to report the file's mistakes.
    """

    path: Path
    check_only: bool


def read_arguments(program: str, purpose: str, variable: str) -> Arguments:
    """Reads the command line; exits if it names no settings file.

    Args:
        program: name of the program.
        purpose: what it does, in a line.
        variable: environment variable with the path of the settings file,
            which is used unless the command line names one.
    """
    if not sys.argv[1:]:
        return Arguments(_path_from_environment(variable), check_only=False)
    from argparse import ArgumentParser  # uses memory a node doesn't need

    parser = ArgumentParser(program, description=purpose)
    parser.add_argument('--settings', type=Path, help='path of the INI file')
    parser.add_argument(
        '--check',
        action='store_true',
        help='report every mistake in the file and exit',
    )
    arguments = parser.parse_args()
    path = arguments.settings or _path_from_environment(variable)
    return Arguments(path, arguments.check)


def read_settings(path: Path) -> DirectSettings:
    """Reads the settings; reports all problems and exits if there are any.

    Args:
        path: settings file.
    """
    try:
        text = path.read_text()
    except OSError as error:
        _exit(f'{path}: {error.strerror}')
    parsed = direct_settings(text, str(path))
    if parsed.is_error():
        _exit(str(parsed.error))
    return parsed.ok


def handle_signals(stop: asyncio.Event, reload: Callable[[], None]) -> None:
    """Has SIGTERM and SIGINT stop the node, and SIGHUP check its settings.

    Args:
        stop: set when the node should stop.
        reload: applies the settings file if it has changed.
    """
    loop = asyncio.get_running_loop()
    for stop_signal in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(stop_signal, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload)


def skip_final_collection() -> None:
    """Has the interpreter end without collecting what is left in memory.

    The collection takes processing time, for which little is left at the end of
    the grace period.
    """
    gc.freeze()


def _path_from_environment(variable: str) -> Path:
    path = os.environ.get(variable)
    if path is None:
        _exit(f'{variable} is not set; use --settings')
    return Path(path)


def _exit(problem: str) -> NoReturn:
    sys.stderr.write(f'{problem}\n')
    sys.exit(EXIT_BAD_SETTINGS)
