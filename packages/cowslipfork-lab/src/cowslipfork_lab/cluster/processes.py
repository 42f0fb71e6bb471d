"""The children of a cluster, by name."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path

from cowslipfork.errors import CowslipforkError
from cowslipfork_lab.cluster.plan import LOOPBACK
from cowslipfork_lab.cluster.process import ChildProcess

#: Longest wait until a process serves.
READY_SECONDS = 30.0
_POLL_SECONDS = 0.05
_LAB = (sys.executable, '-m', 'cowslipfork_lab')


class NotReady(CowslipforkError):
    """A process runs but does not serve."""

    def __init__(self, name: str) -> None:
        """Remembers which.

        Args:
            name: name of the process.
        """
        super().__init__(f'{name} does not serve after {READY_SECONDS} s')
        self.name = name


class Processes:
    """Starts children and leaves none behind."""

    def __init__(self, directory: Path) -> None:
        """Starts without children.

        Args:
            directory: run directory.
        """
        self._directory = directory
        self._children: dict[str, ChildProcess] = {}

    def __getitem__(self, name: str) -> ChildProcess:
        """Gives a child by its name."""
        return self._children[name]

    @property
    def names(self) -> tuple[str, ...]:
        """Names in the order of their start."""
        return tuple(self._children)

    async def start(
        self,
        name: str,
        command: Sequence[str],
        *,
        pipes: bool = False,
    ) -> ChildProcess:
        """Starts a child.

        Args:
            name: names its log.
            command: program and arguments.
            pipes: whether the driver talks to its stdin and stdout.

        Returns:
            The child.
        """
        child = ChildProcess(name, command, self._directory)
        self._children[name] = child
        await child.start(pipes=pipes)
        return child

    async def start_lab(
        self,
        name: str,
        *arguments: str,
        pipes: bool = False,
    ) -> ChildProcess:
        """Starts a child that is a command of the lab."""
        return await self.start(name, (*_LAB, *arguments), pipes=pipes)

    async def stop(self) -> dict[str, int]:
        """Stops all children, the last started first.

        Returns:
            Exit status by name.
        """
        return {
            name: await self._children[name].stop()
            for name in reversed(self.names)
            if self._children[name].running
        }

    async def ready(
        self,
        name: str,
        serves: Callable[[], Awaitable[bool]],
    ) -> None:
        """Waits until a child serves.

        Args:
            name: the child.
            serves: asks it once.

        Raises:
            NotReady: it runs but does not serve.
            ProcessEnded: it has ended.
        """
        try:
            async with asyncio.timeout(READY_SECONDS):
                while not await serves():
                    self._children[name].check()
                    await asyncio.sleep(_POLL_SECONDS)
        except TimeoutError as error:
            raise NotReady(name) from error


def accepts(port: int) -> Callable[[], Awaitable[bool]]:
    """Makes a question whether a port takes connections."""

    async def ask() -> bool:
        try:
            _reader, writer = await asyncio.open_connection(LOOPBACK, port)
        except OSError:
            return False
        writer.close()
        return True

    return ask
