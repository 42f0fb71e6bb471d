from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import pytest
from mysql_mimic.auth import NativePasswordAuthPlugin

from cowslipfork.configuration import (
    Configuration,
    Group,
    Kind,
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
PASSWORD = 'crescent'


def team(name: str, **options) -> Team:
    secret = NativePasswordAuthPlugin.create_auth_string(PASSWORD)
    return Team(TeamName(name), secret, **options)


def example(**options) -> Configuration:
    lookups = RequestClass(ClassName('lookups'), 1, 100, 2.0)
    kind = Kind(KindName('festivals'), lookups.name, SessionRule())
    editors = team('editors')
    return Configuration(
        site=Site(
            SiteName('hilal'),
            RegionName('punjab'),
            (FailureDomain('lahore-1'),),
        ),
        classes={lookups.name: lookups},
        kinds={kind.name: kind},
        groups={GROUP: Group(GROUP, 'observances', ())},
        teams={editors.name: editors},
        **options,
    )


@dataclass
class FakeRun:
    """Answers requests from a table and remembers them."""

    answers: dict[str, Outcome[Answer]] = field(default_factory=dict)
    requests: list[Request] = field(default_factory=list)

    async def __call__(self, request: Request) -> Outcome[Answer]:
        self.requests.append(request)
        return self.answers.get(request.sql, Done(Answer()))


@pytest.fixture
def run() -> FakeRun:
    return FakeRun()


@pytest.fixture
def configuration() -> Configuration:
    return example()


@pytest.fixture
async def server(run, configuration):
    settings = CallerSettings('127.0.0.1', 0)
    serving = await serve_callers(settings, run, lambda: configuration)
    yield serving
    await serving.close()


@pytest.fixture
def in_thread():
    return asyncio.to_thread
