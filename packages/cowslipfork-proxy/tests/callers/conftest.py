from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import pytest
import uvloop
from mysql_mimic.auth import NativePasswordAuthPlugin

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
from cowslipfork.requests import Answer, Request
from cowslipfork_proxy.callers import CallerSettings, serve_callers

GROUP = GroupName('observances')
OTHER = GroupName('orders')
PASSWORD = 'crescent'


def team(name: str, **options) -> Team:
    secret = NativePasswordAuthPlugin.create_auth_string(PASSWORD)
    return Team(TeamName(name), secret, **options)


def example(**options) -> Configuration:
    lookups = RequestClass(ClassName('lookups'), 1, 100, 2.0)
    kind = Kind(KindName('festivals'), lookups.name, SessionRule())
    teams = (
        team('editors'),
        team('readers', read_only=True),
        team('printers', groups=(OTHER,)),
    )
    return Configuration(
        site=Site(
            SiteName('hilal'),
            RegionName('punjab'),
            (FailureDomain('lahore-1'),),
        ),
        classes={lookups.name: lookups},
        kinds={kind.name: kind},
        groups={
            GROUP: Group(GROUP, 'observances', ()),
            OTHER: Group(OTHER, 'orders', ()),
        },
        teams={member.name: member for member in teams},
        limits=Limits(statement_bytes=100_000, callers=4, drain=5),
        **options,
    )


def nothing(request: Request) -> Outcome[Answer]:
    return Done(Answer())


@dataclass
class FakeRun:
    """Answers requests by their text and remembers them."""

    answers: dict[str, Callable[[Request], Outcome[Answer]]] = field(
        default_factory=dict,
    )
    waits: dict[str, Callable[[Request], Awaitable[None]]] = field(
        default_factory=dict,
    )
    heard: defaultdict[str, asyncio.Event] = field(
        default_factory=lambda: defaultdict(asyncio.Event),
    )
    requests: list[Request] = field(default_factory=list)

    async def __call__(self, request: Request) -> Outcome[Answer]:
        self.requests.append(request)
        self.heard[request.sql].set()
        if request.sql in self.waits:
            await self.waits[request.sql](request)
        return self.answers.get(request.sql, nothing)(request)

    def reply(self, sql: str, outcome: Outcome[Answer]) -> None:
        self.answers[sql] = lambda request: outcome

    @property
    def statements(self) -> list[str]:
        return [request.sql for request in self.requests]


def pytest_asyncio_loop_factories(config, item):
    """Runs the tests on the loop that nodes run on."""
    return {'uvloop': uvloop.new_event_loop}


@pytest.fixture
def run() -> FakeRun:
    return FakeRun()


@pytest.fixture
def configuration() -> list[Configuration]:
    """The configuration in force; a test may replace the only item."""
    return [example()]


@pytest.fixture
async def server(run, configuration):
    settings = CallerSettings('127.0.0.1', 0)
    serving = await serve_callers(settings, run, lambda: configuration[0])
    yield serving
    await serving.close()
