"""The callers' side of a node in a process of its own, with a fake Run."""

from __future__ import annotations

import asyncio
import cProfile
import pstats
import signal
import sys
from hashlib import sha1

import uvloop

from cowslipfork.configuration import (
    Configuration,
    Group,
    Kind,
    Limits,
    RequestClass,
    SessionRule,
    Site,
    Team,
)
from cowslipfork.ids import (
    ClassName,
    FailureDomain,
    GroupName,
    KindName,
    RegionName,
    SiteName,
    TeamName,
)
from cowslipfork.outcomes import Done, Outcome
from cowslipfork.requests import Answer, Column, Request, Row, Rows
from cowslipfork_proxy.callers import CallerSettings, serve_callers

TEAM = 'measure'
PASSWORD = 'measure'
DATABASE = 'observances'

_MOST_CALLERS = 5000
_PROFILED_FUNCTIONS = 25
_COLUMNS = (
    Column('id', 8, 63),
    Column('name', 253, 255),
    Column('day', 10, 63),
)
_ROW: Row = ('7', 'Eid ul-Fitr', '2026-03-20')


async def _point_rows() -> Rows:
    yield [_ROW]


async def _point_read(request: Request) -> Outcome[Answer]:
    return Done(Answer(columns=_COLUMNS, rows=_point_rows()))


def _configuration() -> Configuration:
    secret = sha1(sha1(PASSWORD.encode()).digest()).hexdigest()
    team = Team(TeamName(TEAM), secret)
    group = Group(GroupName(DATABASE), DATABASE, ())
    lookups = RequestClass(ClassName('lookups'), 1, 1000, 5)
    kind = Kind(KindName('festivals'), lookups.name, SessionRule())
    return Configuration(
        site=Site(
            SiteName('hilal'),
            RegionName('punjab'),
            (FailureDomain('lahore-1'),),
        ),
        limits=Limits(callers=_MOST_CALLERS),
        classes={lookups.name: lookups},
        kinds={kind.name: kind},
        groups={group.name: group},
        teams={team.name: team},
    )


async def _serve() -> None:
    configuration = _configuration()
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    server = await serve_callers(
        CallerSettings('127.0.0.1', 0),
        _point_read,
        lambda: configuration,
    )
    sys.stdout.write(f'{server.port}\n')
    sys.stdout.flush()
    await stopped.wait()
    await server.close()


def main(*, profiled: bool) -> None:
    """Serves until SIGTERM.

    Args:
        profiled: whether to print where the time went.
    """
    if not profiled:
        uvloop.run(_serve())
        return
    profiler = cProfile.Profile()
    profiler.runcall(uvloop.run, _serve())
    stats = pstats.Stats(profiler, stream=sys.stderr)
    stats.sort_stats('tottime').print_stats(_PROFILED_FUNCTIONS)


if __name__ == '__main__':
    main(profiled='--profile' in sys.argv)
