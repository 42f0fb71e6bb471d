import pytest
from virtual_time import run_virtual

from cowslipfork.configuration import Group
from cowslipfork.groups import (
    ClaimerId,
    RecordConflict,
    RecordInvalid,
    RecordState,
    claim_record,
    decode_record,
    encode_record,
    first_record,
    publish_record,
    read_record,
    record_key,
)
from cowslipfork.groups.record import PublishRefused
from cowslipfork.ids import EndpointId, GroupName
from cowslipfork.store import StoreDown, StoreUncertain
from cowslipfork.store.memory import Fault, MemoryStore

GROUP = Group(GroupName('g'), 'g', (EndpointId('e1'), EndpointId('e2')))
ONE, TWO = ClaimerId('vm1/1'), ClaimerId('vm2/1')
E2 = EndpointId('e2')


def test_terms_grow_and_only_the_claimer_publishes():
    first = first_record(GROUP)
    claimed = first.claim(ONE)
    assert (claimed.term, claimed.state) == (2, RecordState.CLAIMED)
    with pytest.raises(PublishRefused):
        claimed.publish(TWO, E2)
    published = claimed.publish(ONE, E2)
    order = [
        first,
        claimed,
        published,
        published.claim(TWO),
        claimed.claim(TWO),
    ]
    later = [[one.supersedes(other) for other in order] for one in order]
    assert later == [
        [False, False, False, False, False],
        [True, False, False, False, False],
        [True, True, False, False, False],
        [True, True, True, False, False],
        [True, True, True, False, False],
    ]


def test_an_encoded_record_is_decoded_unchanged():
    record = first_record(GROUP).claim(ONE)
    key = record_key(GROUP.name)
    assert decode_record(key, encode_record(record)) == record
    for wrong, content in (
        (key, b'\xff'),
        (key, b''),
        (record_key(GroupName('h')), encode_record(record)),
    ):
        with pytest.raises(RecordInvalid):
            decode_record(wrong, content)


@pytest.mark.parametrize(
    ('faults', 'late'),
    [
        ([], False),
        ([Fault.LOST_ANSWER], False),
        ([Fault.LOST_REQUEST], False),
        ([Fault.LATE_WRITE], False),
        ([Fault.LATE_WRITE, Fault.LOST_ANSWER], True),
        ([Fault.LOST_REQUEST] * 2 + [Fault.LOST_ANSWER], False),
        ([Fault.LATE_WRITE] * 3, True),
    ],
)
def test_a_write_without_an_answer_is_read_back(faults, late):
    async def scenario():
        store = MemoryStore()
        for fault in faults:
            store.fail_once(fault)
        claimed = await claim_record(
            store, await read_record(store, GROUP), ONE
        )
        if late:
            store.apply_late_writes()
        assert store.revision == 1
        assert claimed == await read_record(store, GROUP)
        assert claimed.record.claimer == ONE
        store.fail_once(Fault.LOST_ANSWER)
        await publish_record(store, claimed, ONE, E2)
        return (await read_record(store, GROUP)).record

    record = run_virtual(scenario())
    assert (record.term, record.primary, record.serving) == (2, E2, True)


def test_another_claimers_record_is_a_conflict_and_no_success():
    async def scenario():
        store = MemoryStore()
        before = await read_record(store, GROUP)
        await claim_record(store, before, TWO)
        for faults in ([], [Fault.LOST_REQUEST], [Fault.LATE_WRITE]):
            for fault in faults:
                store.fail_once(fault)
            with pytest.raises(RecordConflict):
                await claim_record(store, before, ONE)
        store.fail(Fault.LOST_REQUEST)
        with pytest.raises(StoreUncertain):
            await claim_record(store, await read_record(store, GROUP), ONE)
        store.fail(Fault.DOWN)
        with pytest.raises(StoreDown):
            await read_record(store, GROUP)

    run_virtual(scenario())
