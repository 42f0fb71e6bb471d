"""When which fault comes and goes."""

from __future__ import annotations

import asyncio
import logging
import random
import re
from collections.abc import Sequence
from dataclasses import dataclass

from cowslipfork.errors import CowslipforkError
from cowslipfork.ids import GroupName
from cowslipfork_lab.cluster import Cluster
from cowslipfork_lab.load.faults import FAULTS, Target, fault_named
from cowslipfork_lab.load.measure import Fault

#: Calm time at both ends of a random schedule, in seconds.
FAULT_FREE_SECONDS = 6.0
_SHORTEST_SECONDS = 0.5
_LONGEST_SECONDS = 5.0
_MEAN_PAUSE_SECONDS = 3.0
_FORM = re.compile(r'([\w-]+)(?:#(\d+))?@([\d.]+)(?:\+([\d.]+))?')

_log = logging.getLogger(__name__)


class BadFault(CowslipforkError):
    """A fault is not written as ``name@second`` or ``name@second+length``."""

    def __init__(self, text: str) -> None:
        """Remembers the text.

        Args:
            text: as given.
        """
        super().__init__(f'"{text}" is not name@second or name@second+length')
        self.text = text


@dataclass(frozen=True, slots=True)
class ScheduledFault:
    """A fault with its time.

    Attributes:
        name: which.
        at: seconds after the start of the load.
        seconds: length; None if it stays.
        target: whom it hits.
    """

    name: str
    at: float
    seconds: float | None
    target: Target


def read_fault(text: str, group: GroupName) -> ScheduledFault:
    """Reads ``name@second``, ``name@second+length``, ``name#node@second``.

    Args:
        text: as written on the command line.
        group: group that it hits.

    Returns:
        The fault.

    Raises:
        BadFault: it is written otherwise.
    """
    match = _FORM.fullmatch(text)
    if match is None:
        raise BadFault(text)
    name, node, at, seconds = match.groups()
    fault_named(name)
    length = float(seconds) if seconds else None
    target = Target(group, int(node or 0))
    return ScheduledFault(name, float(at), length, target)


def random_faults(
    seed: int,
    seconds: float,
    groups: Sequence[GroupName],
    nodes: int,
) -> list[ScheduledFault]:
    """Draws faults that come at any moment, together or twice.

    Args:
        seed: the same seed gives the same schedule.
        seconds: length of the load.
        groups: groups to hit.
        nodes: number of nodes to hit.

    Returns:
        Faults that are all over before the last calm time.
    """
    chance = random.Random(seed)
    names = sorted(FAULTS)
    faults: list[ScheduledFault] = []
    at = FAULT_FREE_SECONDS
    while at < seconds - FAULT_FREE_SECONDS - _SHORTEST_SECONDS:
        left = seconds - FAULT_FREE_SECONDS - at
        longest = min(_LONGEST_SECONDS, left)
        faults.append(
            ScheduledFault(
                chance.choice(names),
                at,
                chance.uniform(_SHORTEST_SECONDS, longest),
                Target(chance.choice(groups), chance.randrange(nodes)),
            ),
        )
        at += chance.expovariate(1 / _MEAN_PAUSE_SECONDS)
    return faults


async def bring(cluster: Cluster, fault: ScheduledFault) -> Fault:
    """Brings a fault about at its time, and undoes it.

    Args:
        cluster: a running cluster.
        fault: the fault; its time counts from this call.

    Returns:
        The fault with the time when it struck.
    """
    await asyncio.sleep(fault.at)
    struck = asyncio.get_running_loop().time()
    _log.info('event=fault name=%s target=%s', fault.name, fault.target)
    undo = await fault_named(fault.name)(cluster, fault.target)
    if fault.seconds is not None:
        await asyncio.sleep(fault.seconds)
        await undo()
        _log.info('event=fault_over name=%s', fault.name)
    return Fault(fault.name, fault.target.group, struck)
