"""One attempt of a request as its caller saw it."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from dataclasses import asdict, dataclass
from enum import Enum, unique
from pathlib import Path

from cowslipfork.ids import GroupName, KindName, SessionId


@unique
class Action(Enum):
    """What a request does."""

    JOB = 'job'
    WRITE = 'write'
    READ = 'read'


@unique
class Ending(Enum):
    """How an attempt ended."""

    DONE = 'done'
    REFUSED = 'refused'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class Attempt:
    """An attempt with its invocation and response times.

    Attributes:
        group: database group.
        kind: kind of request.
        session: session of the caller.
        action: what it does.
        key: token of a job, or number of the register.
        number: value written or read; None if nothing was read.
        scheduled: when the request was due, in seconds.
        started: when the attempt was sent.
        ended: when its answer was there.
        ending: how it ended.
        errno: MySQL error number; 0 without one.
        text: error text.
    """

    group: GroupName
    kind: KindName
    session: SessionId
    action: Action
    key: str
    number: int | None
    scheduled: float
    started: float
    ended: float
    ending: Ending
    errno: int = 0
    text: str = ''


def write_history(path: Path, attempts: Iterable[Attempt]) -> None:
    """Writes a history, one line of JSON for each attempt."""
    with path.open('w') as history:
        for attempt in attempts:
            fields = asdict(attempt)
            fields['action'] = attempt.action.value
            fields['ending'] = attempt.ending.value
            history.write(f'{json.dumps(fields)}\n')


def read_history(path: Path) -> Iterator[Attempt]:
    """Reads what ``write_history`` wrote."""
    for line in path.read_text().splitlines():
        fields = json.loads(line)
        fields['action'] = Action(fields['action'])
        fields['ending'] = Ending(fields['ending'])
        yield Attempt(**fields)
