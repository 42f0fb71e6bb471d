import pytest
from leases_contract import *  # noqa: F401, F403

from cowslipfork.store import Put, StoreDown, StoreUncertain
from cowslipfork.store.memory import Fault, MemoryStore


@pytest.fixture
async def leasing():
    return MemoryStore()


@pytest.mark.parametrize(
    ('fault', 'error', 'at_once', 'later'),
    [
        (Fault.DOWN, StoreDown, False, False),
        (Fault.LOST_ANSWER, StoreUncertain, True, True),
        (Fault.LOST_REQUEST, StoreUncertain, False, False),
        (Fault.LATE_WRITE, StoreUncertain, False, True),
    ],
)
async def test_faults_of_a_write(fault, error, at_once, later):
    store = MemoryStore()
    store.fail_once(fault)
    with pytest.raises(StoreDown) as raised:
        await store.swap([], [Put('/k', b'x')])
    assert type(raised.value) is error
    assert (await store.get('/k') is not None) is at_once
    store.apply_late_writes()
    assert (await store.get('/k') is not None) is later


async def test_a_store_that_is_down_breaks_reads_and_watches():
    store = MemoryStore()
    store.put('/k', b'x')
    watch = store.watch('/', 0)
    assert len(await anext(watch)) == 1
    store.fail(Fault.DOWN)
    with pytest.raises(StoreDown):
        await anext(watch)
    with pytest.raises(StoreDown):
        await store.get('/k')
    store.heal()
    assert await store.get('/k')
