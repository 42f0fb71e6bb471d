"""Operators race through several nodes on the stand-in of the store."""

import asyncio
import itertools

from cowslipfork.changes.accept import ConfigurationHistory
from cowslipfork.changes.audit import AuditQuery, query_audit
from cowslipfork.changes.change import Change, Unavailable, new_change_id
from cowslipfork.store import (
    CallRateLimiter,
)
from cowslipfork.store.etcd import EtcdStore
from cowslipfork_lab.store import StoreServer

OPERATORS = ('ada', 'salma', 'omar')
CHANGES_EACH = 15
LOST_ANSWERS = b'9'


async def no_problems(base, overlays):
    return ()


async def make_changes(log, operator):
    """Accepts changes one after another; starts anew after a conflict."""
    accepted = {}
    numbers = itertools.count()
    while len(accepted) < CHANGES_EACH:
        current = await log.current()
        expected = current.revision if current else 0
        change = Change(
            expected,
            f'# {operator} {next(numbers)}',
            {},
            operator,
            'why',
            new_change_id(expected),
        )
        outcome = await log.accept(change)
        while outcome.is_error() and isinstance(outcome.error, Unavailable):
            outcome = await log.accept(change)
        if outcome.is_ok():
            accepted[change.change_id] = outcome.ok.revision
    return accepted


async def test_every_accepted_change_stands_once_in_the_trail():
    server = StoreServer()
    await server.start()
    server.faults.set(b'/lab/lost_answers', LOST_ANSWERS)
    stores = [
        EtcdStore('127.0.0.1', server.port, CallRateLimiter(10_000, 10_000))
        for _ in OPERATORS
    ]
    try:
        logs = [
            ConfigurationHistory(store, check=no_problems) for store in stores
        ]
        accepted = await asyncio.gather(*map(make_changes, logs, OPERATORS))
        page = await query_audit(stores[0], AuditQuery(limit=1000))
    finally:
        for store in stores:
            await store.close()
        await server.close()
    told = {key: value for part in accepted for key, value in part.items()}
    trail = {record.change_id: record.revision for record in page.records}
    assert trail == told
    revisions = [record.revision for record in page.records]
    total = CHANGES_EACH * len(OPERATORS)
    assert revisions == list(range(total, 0, -1))
    assert server.faults.counts['answers_lost'] == int(LOST_ANSWERS)
