"""A process of the cluster: started, stopped and disturbed by its pid."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Sequence
from contextlib import suppress
from pathlib import Path
from typing import Final

from cowslipfork.errors import CowslipforkError
from cowslipfork_lab.cluster import bound_command

#: Time that a process gets to end after SIGTERM.
STOP_SECONDS = 15.0
_LOG_TAIL_LINES = 20

#: Runs a command that the kernel ends by SIGTERM when the driver ends.
_BOUND_COMMAND: Final = (sys.executable, '-I', '-S', bound_command.__file__)


class ProcessEnded(CowslipforkError):
    """A process ended before it served."""

    def __init__(self, name: str, status: int, tail: str) -> None:
        """Remembers the end of its log.

        Args:
            name: name of the process.
            status: exit status.
            tail: last lines of its log.
        """
        super().__init__(f'{name} ended with status {status}:\n{tail}')
        self.name = name
        self.status = status


class ChildProcess:
    """One child, whose log is kept in the run directory."""

    def __init__(
        self,
        name: str,
        command: Sequence[str],
        directory: Path,
    ) -> None:
        """Prepares a process.

        Args:
            name: names its log.
            command: program and arguments.
            directory: run directory.
        """
        self._name = name
        self._command = tuple(command)
        self._log = directory / f'{name}.log'
        self._process: asyncio.subprocess.Process | None = None

    @property
    def name(self) -> str:
        """Name of the process."""
        return self._name

    @property
    def log(self) -> Path:
        """File that it writes to."""
        return self._log

    @property
    def pid(self) -> int:
        """Its pid; 0 while it doesn't run."""
        return self._process.pid if self._process else 0

    @property
    def running(self) -> bool:
        """Whether it was started and hasn't ended."""
        return self._process is not None and self._process.returncode is None

    async def start(self, *, pipes: bool = False) -> None:
        """Starts it, with its log appended to the earlier one.

        Args:
            pipes: whether the driver talks to its stdin and stdout.
        """
        pipe = asyncio.subprocess.PIPE
        with self._log.open('ab') as log:
            self._process = await asyncio.create_subprocess_exec(
                *_BOUND_COMMAND,
                str(os.getpid()),
                *self._command,
                stdin=pipe if pipes else asyncio.subprocess.DEVNULL,
                stdout=pipe if pipes else log,
                stderr=log,
                # Signals of the terminal reach the driver only, which stops
                # its children.
                process_group=0,
            )

    async def ask(self, line: str) -> str:
        """Sends a line to its stdin and reads the answer.

        Args:
            line: without its end.

        Returns:
            One line of its stdout.
        """
        process = self._process
        if process is None or process.stdin is None or process.stdout is None:
            raise ProcessEnded(self._name, 0, 'it has no pipes')
        process.stdin.write(f'{line}\n'.encode())
        await process.stdin.drain()
        answer = await process.stdout.readline()
        return answer.decode()

    async def ended(self) -> int:
        """Waits for its end.

        Returns:
            Its exit status; negative for a signal, 0 if it never ran.
        """
        return await self._process.wait() if self._process else 0

    async def stop(self) -> int:
        """Ends it by SIGTERM, and by SIGKILL if it takes too long.

        Returns:
            Its exit status; negative for a signal.
        """
        self._signal(signal.SIGCONT)
        self._signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_SECONDS):
                return await self.ended()
        except TimeoutError:
            return await self.kill()

    async def kill(self) -> int:
        """Ends it at once.

        Returns:
            Its exit status; negative for a signal.
        """
        self._signal(signal.SIGKILL)
        return await self.ended()

    def freeze(self) -> None:
        """Stops it where it stands."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Lets a frozen process go on."""
        self._signal(signal.SIGCONT)

    def check(self) -> None:
        """Raises if it has ended.

        Raises:
            ProcessEnded: it has.
        """
        if self._process and self._process.returncode is not None:
            lines = self._log.read_text(errors='replace').splitlines()
            tail = '\n'.join(lines[-_LOG_TAIL_LINES:])
            raise ProcessEnded(self._name, self._process.returncode, tail)

    def _signal(self, number: signal.Signals) -> None:
        if self._process and self.running:
            with suppress(ProcessLookupError):
                self._process.send_signal(number)
