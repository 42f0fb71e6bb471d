import asyncio

from cowslipfork.configuration import Configuration, Site, Team
from cowslipfork.ids import GroupName, RegionName, SiteName, TeamName
from cowslipfork.limits import TeamLimits
from cowslipfork.outcomes import Done, NotRun, Reason
from cowslipfork.requests import Answer, Operation, Request
from cowslipfork_proxy.admission import with_admission

FLOOD, QUIET = TeamName('flood'), TeamName('quiet')
CONFIGURATION = Configuration(
    Site(SiteName('s'), RegionName('r'), ()),
    teams={name: Team(name, '', requests=2) for name in (FLOOD, QUIET)},
)


def request(team, operation=Operation.READ):
    return Request(GroupName('g'), None, operation, '', team, deadline=0)


async def test_one_team_flooding_leaves_room_for_others():
    gate = asyncio.Event()

    async def run(asked):
        await gate.wait()
        return Done(Answer())

    admitted = with_admission(run, TeamLimits(), lambda: CONFIGURATION)
    flood = [asyncio.ensure_future(admitted(request(FLOOD))) for _ in range(10)]
    await asyncio.sleep(0)
    refused = [task.result() for task in flood if task.done()]
    quiet = asyncio.ensure_future(admitted(request(QUIET)))
    ending = asyncio.ensure_future(admitted(request(FLOOD, Operation.COMMIT)))
    await asyncio.sleep(0)

    assert len(refused) == 8
    assert {item.reason for item in refused} == {Reason.OVER_TEAM_LIMIT}
    assert all(item.retry_after_ms for item in refused)
    gate.set()
    assert isinstance(await quiet, Done)
    assert isinstance(await ending, Done)
    await asyncio.gather(*flood)


async def test_unknown_team_is_forbidden():
    async def run(asked):
        raise AssertionError

    outcome = await with_admission(run, TeamLimits(), lambda: CONFIGURATION)(
        request(TeamName('nobody')),
    )

    assert isinstance(outcome, NotRun)
    assert outcome.reason is Reason.FORBIDDEN
