"""Checks that jobs ran exactly once, by the rows they left."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from itertools import groupby

from cowslipfork_lab.history.attempt import Action, Attempt, Ending
from cowslipfork_lab.history.violations import Rule, Violation


def check_jobs(
    attempts: Iterable[Attempt],
    rows: Mapping[str, int],
) -> Iterator[Violation]:
    """Compares the attempts of each job with the rows at the end.

    Args:
        attempts: the history.
        rows: number of rows by token, from every group's endpoints.

    Yields:
        Jobs lost, run twice, or run although reported as not run.
    """
    jobs = [one for one in attempts if one.action == Action.JOB]
    jobs.sort(key=_token)
    for token, tries in groupby(jobs, _token):
        yield from _check_job(token, list(tries), rows.get(token, 0))


def _check_job(
    token: str,
    tries: Sequence[Attempt],
    count: int,
) -> Iterator[Violation]:
    done = [one for one in tries if one.ending == Ending.DONE]
    endings = {one.ending for one in tries}
    if count > 1:
        yield Violation(Rule.JOB_RAN_TWICE, token, '1 row', f'{count} rows')
    elif done and not count:
        yield Violation(
            Rule.ACKNOWLEDGED_JOB_LOST,
            token,
            '1 row',
            'none',
            done[0],
        )
    elif count and endings <= {Ending.NOT_RUN, Ending.REFUSED}:
        yield Violation(
            Rule.NOT_RUN_BUT_RAN,
            token,
            'no row',
            '1 row',
            tries[-1],
        )


def _token(attempt: Attempt) -> str:
    return attempt.key
