"""The checker finds each broken promise in a doctored history."""

from __future__ import annotations

from dataclasses import replace

import pytest

from cowslipfork.configuration import AgeRule, FreshRule, SessionRule
from cowslipfork_lab.history import (
    Action,
    Attempt,
    Ending,
    Rule,
    check_jobs,
    check_registers,
    read_history,
    write_history,
)

RULES = {
    'aged': AgeRule(10),
    'own': SessionRule(),
    'new': FreshRule(),
}


def job(ending, token='t', at=0):
    return Attempt(
        'g', 'order', 's', Action.JOB, token, None, at, at, at + 1, ending
    )


def write(number, at, ending=Ending.DONE, session='writer'):
    return Attempt(
        'g', 'edit', session, Action.WRITE, 'r', number, at, at, at + 1, ending
    )


def read(kind, number, at, session='reader'):
    return Attempt(
        'g',
        kind,
        session,
        Action.READ,
        'r',
        number,
        at,
        at,
        at + 1,
        Ending.DONE,
    )


@pytest.mark.parametrize(
    ('endings', 'rows', 'broken'),
    [
        ([Ending.DONE], 1, None),
        ([Ending.DONE], 0, Rule.ACKNOWLEDGED_JOB_LOST),
        ([Ending.DONE], 2, Rule.JOB_RAN_TWICE),
        ([Ending.UNKNOWN], 0, None),
        ([Ending.UNKNOWN], 1, None),
        ([Ending.UNKNOWN], 2, Rule.JOB_RAN_TWICE),
        ([Ending.NOT_RUN], 0, None),
        ([Ending.NOT_RUN], 1, Rule.NOT_RUN_BUT_RAN),
        ([Ending.REFUSED], 1, Rule.NOT_RUN_BUT_RAN),
        ([Ending.NOT_RUN, Ending.DONE], 1, None),
        ([Ending.UNKNOWN, Ending.NOT_RUN], 1, None),
        ([Ending.UNKNOWN, Ending.DONE], 0, Rule.ACKNOWLEDGED_JOB_LOST),
    ],
)
def test_jobs(endings, rows, broken):
    attempts = [job(ending, at=at) for at, ending in enumerate(endings)]
    found = list(check_jobs(attempts, {'t': rows}))
    assert [violation.rule for violation in found] == [broken] * bool(broken)


def test_jobs_are_told_apart():
    attempts = [job(Ending.DONE, 'a'), job(Ending.DONE, 'b')]
    (found,) = check_jobs([*attempts, job(Ending.DONE, 'a')], {'a': 1})
    assert (found.key, found.rule) == ('b', Rule.ACKNOWLEDGED_JOB_LOST)


ONE_TWO = [write(1, at=0), write(2, at=10)]


@pytest.mark.parametrize(
    ('reads', 'broken'),
    [
        ([read('new', 2, at=12)], None),
        ([read('new', 1, at=12)], Rule.STALE_READ),
        ([read('new', 1, at=10.5)], None),
        ([read('new', 2, at=10.5)], None),
        ([read('unlisted', 1, at=12)], Rule.STALE_READ),
        ([read('aged', 1, at=20)], None),
        ([read('aged', 1, at=22)], Rule.STALE_READ),
        ([read('own', 1, at=12)], None),
        ([read('own', 1, at=12, session='writer')], Rule.STALE_READ),
        ([read('own', 2, 12), read('own', 1, 14)], Rule.READ_BACKWARDS),
        ([read('own', 2, 12), read('own', 1, 12.5)], None),
        ([read('own', 2, 12), read('own', 1, 14, session='other')], None),
        ([read('aged', 2, 12), read('aged', 1, 14)], None),
        ([read('new', 3, at=12)], Rule.READ_OF_NOTHING),
    ],
)
def test_reads(reads, broken):
    final = {('g', 'r'): 2}
    found = list(check_registers([*ONE_TWO, *reads], RULES, final))
    assert [violation.rule for violation in found] == [broken] * bool(broken)


@pytest.mark.parametrize(
    ('ending', 'final', 'broken'),
    [
        (Ending.DONE, 3, None),
        (Ending.DONE, 2, Rule.ACKNOWLEDGED_WRITE_LOST),
        (Ending.UNKNOWN, 2, None),
        (Ending.UNKNOWN, 3, None),
        (Ending.NOT_RUN, 2, None),
        (Ending.NOT_RUN, 3, Rule.NOT_RUN_BUT_RAN),
    ],
)
def test_registers_at_the_end(ending, final, broken):
    attempts = [*ONE_TWO, write(3, at=20, ending=ending)]
    found = list(check_registers(attempts, RULES, {('g', 'r'): final}))
    assert [violation.rule for violation in found] == [broken] * bool(broken)


def test_read_of_a_write_that_was_not_run():
    attempts = [write(1, 0, Ending.NOT_RUN), read('aged', 1, at=0.5)]
    (found,) = check_registers(attempts, RULES, {})
    assert found.rule == Rule.READ_OF_NOTHING


def test_history_is_read_as_written(tmp_path):
    attempts = [*ONE_TWO, read('new', None, at=12), job(Ending.UNKNOWN)]
    attempts.append(replace(attempts[0], errno=4704, text='not run: deadline'))
    write_history(tmp_path / 'history', attempts)
    assert list(read_history(tmp_path / 'history')) == attempts
