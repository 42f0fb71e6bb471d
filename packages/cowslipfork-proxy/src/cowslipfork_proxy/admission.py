"""Admission of requests at the entry: no team takes another's room."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from cowslipfork.configuration import Configuration
from cowslipfork.limits import TeamLimits
from cowslipfork.outcomes import NotRun, Outcome, Reason
from cowslipfork.requests import Answer, Operation, Request, RequestHandler

#: Milliseconds after which a team over its limit may come back.
_RETRY_AFTER_MS: Final = 50

#: Operations that free what a team holds.
_ENDING: Final = frozenset((Operation.COMMIT, Operation.ROLLBACK))


def with_admission(
    run: RequestHandler,
    limits: TeamLimits,
    configuration: Callable[[], Configuration],
) -> RequestHandler:
    """Wraps a runner so that teams stay within their limits.

    Args:
        run: serves admitted requests.
        limits: requests in flight by team.
        configuration: gives the configuration in force.

    Returns:
        A runner that answers requests over the limit at once.
    """

    async def admitted(request: Request) -> Outcome[Answer]:
        if request.operation in _ENDING:
            return await run(request)
        team = configuration().teams.get(request.team)
        if team is None:
            return NotRun(Reason.FORBIDDEN, detail=f'no team {request.team}')
        with limits.admitted(request.team, team.requests) as within:
            if within:
                return await run(request)
        return NotRun(
            Reason.OVER_TEAM_LIMIT,
            _RETRY_AFTER_MS,
            f'team {team.name} has {team.requests} requests in flight',
        )

    return admitted
