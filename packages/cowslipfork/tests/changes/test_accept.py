import random
import zlib

import pytest

from cowslipfork.changes.accept import ConfigurationHistory
from cowslipfork.changes.audit import AuditQuery, query_audit
from cowslipfork.changes.change import (
    Accepted,
    Change,
    Conflict,
    Unavailable,
    new_change_id,
)
from cowslipfork.changes.records import (
    CURRENT_KEY,
    KEPT_CONFIGURATIONS,
    MAX_RECORD_BYTES,
    MAX_TEXT_BYTES,
)
from cowslipfork.configuration import (
    ProblemKind,
    Problems,
)
from cowslipfork.store import RecordUnreadable
from cowslipfork.store.memory import Fault, MemoryStore
from cowslipfork.wire.records_pb2 import ConfigurationRecord


@pytest.fixture
def store():
    return MemoryStore()


@pytest.fixture
def log(store):
    clock = iter(range(1000, 100_000))
    return ConfigurationHistory(store, lambda: next(clock))


@pytest.fixture
def change(base_text, overlay_text):
    def make(expected, number, operator='ada', **other):
        fields = {
            'base': base_text(number),
            'overlays': {'punjab': overlay_text},
            'reason': f'number {number}',
            'change_id': new_change_id(expected),
            **other,
        }
        return Change(expected, operator=operator, **fields)

    return make


async def test_changes_follow_each_other_with_their_audit_records(
    store,
    log,
    change,
):
    for revision in range(3):
        accepted = await log.accept(change(revision, 1000 + revision))
        assert accepted.ok == Accepted(revision + 1)
    assert store.calls == {'get': 3, 'swap': 3}
    assert (await log.current()).revision == 3
    page = await query_audit(store, AuditQuery())
    assert [record.revision for record in page.records] == [3, 2, 1]
    assert '+[class lookup] deadline = 1002ms' in page.records[0].difference
    assert page.records[0].reason == 'number 1002'


async def test_the_slower_of_two_operators_sees_what_the_other_changed(
    log,
    change,
):
    await log.accept(change(0, 1000))
    await log.accept(change(1, 1001, 'ada'))
    conflict = (await log.accept(change(1, 1002, 'salma'))).error
    assert isinstance(conflict, Conflict)
    assert (conflict.current, conflict.operator) == (2, 'ada')
    assert '+[class lookup] deadline = 1001ms' in conflict.difference
    assert '1002ms' not in conflict.difference


@pytest.mark.parametrize(
    ('fault', 'repeated'),
    [
        (Fault.LOST_REQUEST, False),
        (Fault.LATE_WRITE, True),
    ],
)
async def test_a_repeat_ends_an_uncertain_change_and_never_doubles_it(
    store,
    log,
    change,
    fault,
    repeated,
):
    proposal = change(0, 1000)
    store.fail_once(fault)
    first = (await log.accept(proposal)).error
    assert isinstance(first, Unavailable)
    assert first.may_have_landed
    assert first.retry_after > 0
    store.apply_late_writes()
    assert (await log.accept(proposal)).ok == Accepted(1, repeated)
    assert (await log.accept(proposal)).ok == Accepted(1, repeated=True)
    assert (await log.current()).revision == 1


async def test_a_lost_answer_is_resolved_by_reading_back(store, log, change):
    store.fail_once(Fault.LOST_ANSWER)
    accepted = await log.accept(change(0, 1000))
    assert accepted.ok == Accepted(1, repeated=True)


async def test_a_store_that_is_down_is_told_at_once(store, log, change):
    store.fail(Fault.DOWN)
    refusal = (await log.accept(change(0, 1000))).error
    assert isinstance(refusal, Unavailable)
    assert not refusal.may_have_landed


async def test_a_store_going_down_after_the_write_leaves_it_open(
    log,
    store,
    change,
):
    store.fail_once(Fault.LOST_ANSWER)
    reads = []

    async def down_after_write(operation):
        reads.append(operation)
        if reads[-2:] == ['swap', 'get']:
            store.fail(Fault.DOWN)

    store._before = down_after_write
    refusal = (await log.accept(change(0, 1000))).error
    assert refusal.may_have_landed


@pytest.mark.parametrize(
    ('other', 'kind'),
    [
        ({'reason': ''}, ProblemKind.BAD_VALUE),
        ({'change_id': '7-x'}, ProblemKind.BAD_VALUE),
        ({'overlays': {}}, ProblemKind.MISSING),
        ({'overlays': {'punjab': '[sight]'}}, ProblemKind.UNKNOWN_SECTION),
        ({'base': ''}, ProblemKind.CONTRADICTION),
    ],
)
async def test_bad_changes_reach_no_store(store, log, change, other, kind):
    refusal = (await log.accept(change(0, 1000, **other))).error
    assert isinstance(refusal, Problems)
    assert kind in {problem.kind for problem in refusal.problems}
    assert not store.calls


async def test_names_of_the_whole_fleet_stand_in_one_overlay(log, change):
    group = '[endpoint a]\nhost = 10.0.0.1\nport = 1\n'
    overlays = {'cairo': group, 'punjab': group}
    refusal = (await log.accept(change(0, 1000, overlays=overlays))).error
    twice = [p for p in refusal.problems if p.kind is ProblemKind.DUPLICATE]
    assert [(p.file, p.section) for p in twice] == [
        ('overlay punjab', 'endpoint a'),
    ]


@pytest.mark.parametrize(
    ('comment', 'limit'),
    [
        ('x' * MAX_TEXT_BYTES, MAX_TEXT_BYTES),
        # Random digits shrink to little less than half.
        (random.Random(0).randbytes(750_000).hex(), MAX_RECORD_BYTES),
    ],
)
async def test_too_large_a_configuration_is_refused(
    store,
    log,
    change,
    base_text,
    comment,
    limit,
):
    base = f'{base_text()}\n# {comment}\n'
    refusal = (await log.accept(change(0, 1000, base=base))).error
    assert [p.kind for p in refusal.problems] == [ProblemKind.TOO_LARGE]
    assert str(limit) in refusal.problems[0].text
    assert not store.calls['swap']


async def test_a_text_longer_than_a_value_fits_packed(
    store,
    log,
    change,
    base_text,
):
    base = f'{base_text()}\n# {"0123456789" * 200_000}\n'
    assert (await log.accept(change(0, 1000, base=base))).is_ok()
    assert (await log.current()).base == base
    assert len((await store.get(CURRENT_KEY)).content) < MAX_RECORD_BYTES


@pytest.mark.parametrize(
    'packed',
    [b'not zlib', zlib.compress(b'\xff'), zlib.compress(b'0' * 10_000_000)],
)
async def test_damaged_or_swollen_texts_are_refused(store, log, packed):
    record = ConfigurationRecord(revision=1, packed=packed)
    store.put(CURRENT_KEY, record.SerializeToString())
    with pytest.raises(RecordUnreadable):
        await log.current()


async def test_a_change_id_is_not_reused_for_other_texts(log, change):
    first = change(0, 1000)
    await log.accept(first)
    other = change(0, 1001, change_id=first.change_id)
    refusal = (await log.accept(other)).error
    assert refusal.problems[0].key == 'change_id'


async def test_old_texts_are_archived_while_audit_records_stay(
    store,
    log,
    change,
):
    for revision in range(KEPT_CONFIGURATIONS + 1):
        await log.accept(change(revision, 1000 + revision))
    assert await log.at(1) is None
    assert (await log.at(2)).revision == 2
    page = await query_audit(store, AuditQuery(limit=1000))
    assert len(page.records) == KEPT_CONFIGURATIONS + 1


async def test_a_damaged_record_is_a_typed_failure(store, log, change):
    store.put(CURRENT_KEY, b'\xff\xff')
    with pytest.raises(RecordUnreadable, match=CURRENT_KEY):
        await log.accept(change(0, 1000))
