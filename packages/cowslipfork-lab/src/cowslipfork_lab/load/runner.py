"""Runs a load against nodes, or against the endpoints as a baseline."""

from __future__ import annotations

import asyncio
import random
from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum, unique

from cowslipfork.configuration import Configuration
from cowslipfork.ids import GroupName
from cowslipfork_lab.history import Action, Attempt, Ending
from cowslipfork_lab.load.arrivals import Arrival, arrivals
from cowslipfork_lab.load.caller import Caller
from cowslipfork_lab.load.endings import retry_after
from cowslipfork_lab.load.measure import FinishedRequest
from cowslipfork_lab.load.mix import MixEntry

#: Attempts of one request at most.
MOST_ATTEMPTS = 20
#: Pause before another attempt if the server named none.
RETRY_SECONDS = 0.1
#: Share of reads that ask for what their own session has written.
OWN_READS = 0.5


#: Caller connections at least, as many as three groups let in directly.
FEWEST_CALLERS = 54
_RATE_OF_CALLER = 4


def callers_for(rate: float) -> int:
    """Gives enough caller connections for an open loop.

    Args:
        rate: requests a second.

    Returns:
        Connections, so that a caller is busy for a small part of the time.
    """
    return max(FEWEST_CALLERS, int(rate / _RATE_OF_CALLER))


@unique
class Baseline(Enum):
    """What callers are connected to.

    ``DIRECT`` is what a marketplace has without a proxy: every request goes
    to the first primary, and nobody follows a promotion.
    """

    PROXY = 'proxy'
    DIRECT = 'direct'


@dataclass(frozen=True, slots=True)
class LoadSettings:
    """Size of a load.

    Attributes:
        rate: requests a second.
        seconds: length.
        callers: caller connections, spread over the groups.
        seed: of arrivals and registers.
    """

    rate: float
    seconds: float
    callers: int
    seed: int = 1


class Load:
    """Callers, and the requests that they made."""

    def __init__(
        self,
        settings: LoadSettings,
        mix: Sequence[MixEntry],
        configuration: Configuration,
        ports: Mapping[GroupName, Sequence[int]],
    ) -> None:
        """Prepares a load.

        Args:
            settings: its size.
            mix: kinds of requests.
            configuration: for databases, classes and deadlines.
            ports: ports to connect to, by group.
        """
        self._settings = settings
        self._mix = mix
        self._configuration = configuration
        self._chance = random.Random(settings.seed)
        self._attempts: list[Attempt] = []
        self._finished_requests: list[FinishedRequest] = []
        self._registers: defaultdict[GroupName, list[int]] = defaultdict(list)
        self._idle: dict[GroupName, asyncio.Queue[Caller]] = {
            group: asyncio.Queue() for group in ports
        }
        for number in range(settings.callers):
            groups = tuple(ports)
            group = groups[number % len(groups)]
            database = configuration.groups[group].database
            caller = Caller(number, group, database, ports[group])
            self._registers[group].append(number)
            self._idle[group].put_nowait(caller)

    @property
    def attempts(self) -> Sequence[Attempt]:
        """Every attempt, for the history."""
        return self._attempts

    @property
    def finished_requests(self) -> Sequence[FinishedRequest]:
        """Every request that has ended."""
        return self._finished_requests

    @property
    def registers(self) -> Mapping[GroupName, Sequence[int]]:
        """Registers that the callers use."""
        return self._registers

    async def run(self) -> None:
        """Sends every request when it is due and waits for all answers."""
        clock = asyncio.get_running_loop()
        start = clock.time()
        settings = self._settings
        async with asyncio.TaskGroup() as requests:
            for arrival in arrivals(
                self._mix,
                settings.rate,
                settings.seconds,
                settings.seed,
            ):
                due = start + arrival.at
                await asyncio.sleep(max(due - clock.time(), 0))
                requests.create_task(self._serve(arrival, due))
        for idle in self._idle.values():
            while not idle.empty():
                idle.get_nowait().close()

    async def _serve(self, arrival: Arrival, due: float) -> None:
        idle = self._idle[arrival.group]
        caller = await idle.get()
        try:
            await self._try(caller, arrival, due)
        finally:
            idle.put_nowait(caller)

    async def _try(self, caller: Caller, arrival: Arrival, due: float) -> None:
        clock = asyncio.get_running_loop()
        entry = arrival.entry
        deadline = due + self._deadline(entry)
        key = self._key(caller, arrival)
        tries: list[Attempt] = []
        while len(tries) < MOST_ATTEMPTS:
            left = max(deadline - clock.time(), RETRY_SECONDS)
            tries.append(await caller.attempt(entry, key, due, left))
            pause = _pause_before_retry(tries[-1])
            if pause is None or clock.time() + pause >= deadline:
                break
            await asyncio.sleep(pause)
        self._attempts.extend(tries)
        last = tries[-1]
        in_time = last.ending == Ending.DONE and last.ended <= deadline
        self._finished_requests.append(
            FinishedRequest(last, len(tries), in_time)
        )

    def _deadline(self, entry: MixEntry) -> float:
        kind = self._configuration.kinds[entry.kind]
        return self._configuration.classes[kind.class_name].deadline

    def _key(self, caller: Caller, arrival: Arrival) -> str:
        if arrival.entry.action == Action.JOB:
            return f'{self._chance.getrandbits(64):016x}'
        if arrival.entry.action == Action.WRITE:
            return caller.register
        own = self._chance.random() < OWN_READS
        registers = self._registers[arrival.group]
        return caller.register if own else str(self._chance.choice(registers))


def _pause_before_retry(attempt: Attempt) -> float | None:
    retryable = attempt.ending == Ending.NOT_RUN or (
        attempt.ending == Ending.UNKNOWN and attempt.action != Action.WRITE
    )
    if not retryable:
        return None
    return retry_after(attempt.text) or RETRY_SECONDS
