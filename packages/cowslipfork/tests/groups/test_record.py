import pytest
from fake_store import FakeStore
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

GROUP = Group(GroupName('g'), 'g', (EndpointId('e1'), EndpointId('e2')))
ONE, TWO = ClaimerId('vm1/1'), ClaimerId('vm2/1')
E2 = EndpointId('e2')


def test_terms_grow_and_only_the_claimer_publishes():
    first = first_record(GROUP)
    claimed = first.claim(ONE)
    assert (claimed.term, claimed.state) == (2, RecordState.CLAIMED)
    with pytest.raises(PublishRefused):
        claimed.publish(TWO, E2)
    served = claimed.publish(ONE, E2)
    order = [first, claimed, served, served.claim(TWO), claimed.claim(TWO)]
    later = [[one.supersedes(other) for other in order] for one in order]
    assert later == [
        [False, False, False, False, False],
        [True, False, False, False, False],
        [True, True, False, False, False],
        [True, True, True, False, False],
        [True, True, True, False, False],
    ]


def test_record_survives_its_codec():
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
    ('lost_before', 'lost_after', 'swaps'),
    [(0, 0, 1), (0, 1, 1), (1, 0, 1), (2, 1, 1), (3, 0, 1)],
)
def test_lost_answers_are_read_back(lost_before, lost_after, swaps):
    async def scenario():
        store = FakeStore()
        store.lost_before, store.lost_after = lost_before, lost_after
        held = await claim_record(store, await read_record(store, GROUP), ONE)
        assert store.swaps == swaps
        assert held == await read_record(store, GROUP)
        assert held.record.claimer == ONE
        store.lost_after = 1
        await publish_record(store, held, ONE, E2)
        return (await read_record(store, GROUP)).record

    record = run_virtual(scenario())
    assert (record.term, record.primary, record.serving) == (2, E2, True)


def test_a_lost_answer_is_not_taken_for_a_success_of_another():
    async def scenario():
        store = FakeStore()
        before = await read_record(store, GROUP)
        await claim_record(store, before, TWO)
        for lost_before in (0, 1):
            store.lost_before = lost_before
            with pytest.raises(RecordConflict):
                await claim_record(store, before, ONE)
        store.lost_before = 9
        with pytest.raises(StoreUncertain):
            await claim_record(store, await read_record(store, GROUP), ONE)
        store.down = True
        with pytest.raises(StoreDown):
            await read_record(store, GROUP)

    run_virtual(scenario())
