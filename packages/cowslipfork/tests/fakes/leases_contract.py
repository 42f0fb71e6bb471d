"""What every ``LeasingStore`` promises; a test module brings ``leasing``."""

import pytest

from cowslipfork.store import LeaseId, LeaseLost, Put


async def test_a_key_with_a_lease_ends_with_it(leasing):
    lease = await leasing.grant(2)
    await leasing.swap((), (Put('/l/a', b'x', lease), Put('/l/b', b'y')))
    assert await leasing.renew(lease)
    assert await leasing.end(lease)
    entries, _ = await leasing.list_prefix('/l/')
    assert [entry.key for entry in entries] == ['/l/b']


async def test_an_ended_lease_is_not_renewed(leasing):
    lease = await leasing.grant(2)
    await leasing.end(lease)
    assert not await leasing.renew(lease)
    assert not await leasing.end(lease)


async def test_nothing_is_written_with_a_lease_that_has_ended(leasing):
    lease = await leasing.grant(2)
    await leasing.end(lease)
    with pytest.raises(LeaseLost):
        await leasing.swap((), (Put('/l/a', b'x', lease), Put('/l/b', b'')))
    assert await leasing.get('/l/b') is None


async def test_an_unknown_lease_has_ended(leasing):
    assert not await leasing.renew(LeaseId(12_345))
