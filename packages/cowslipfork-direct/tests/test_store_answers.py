"""What tells the answer to a call of the store from a late one."""

import pytest

from cowslipfork.store import (
    Event,
    LeaseLost,
    Put,
    StoreDown,
    StoreUncertain,
)
from cowslipfork_direct.http_client import UnexpectedResponse
from cowslipfork_direct.store_answers import (
    KnownRevision,
    LeaseAnswer,
    ensure_changes,
    ensure_granted,
    ensure_page,
    ensure_renewed,
    is_found,
    is_swapped,
)
from cowslipfork_direct.store_era import EraTracker

PUTS = (Put('k', b''),)
DELETES = (Put('k', None),)


@pytest.fixture
def eras():
    tracker = EraTracker()
    tracker.check('get', None, 1)
    return tracker


def known_revision(eras, revision):
    known = KnownRevision(eras)
    known.ensure_read(0, revision)
    return known


@pytest.mark.parametrize(('puts', 'least'), [(PUTS, 8), (DELETES, 7)])
def test_a_transaction_is_not_older_than_what_is_known(eras, puts, least):
    known = known_revision(eras, 7)
    known.ensure_written(known.newest, least, puts)
    known = known_revision(eras, 7)
    with pytest.raises(UnexpectedResponse):
        known.ensure_written(known.newest, least - 1, puts)


def test_an_answer_may_be_older_than_one_that_overtook_it(eras):
    known = known_revision(eras, 7)
    begun = known.newest
    known.ensure_written(begun, 9, PUTS)
    known.ensure_read(begun, 8)
    assert known.newest == 9


def test_revisions_of_an_earlier_era_do_not_count(eras):
    known = known_revision(eras, 7)
    eras.check('get', None, 2)
    assert known.newest == 0
    known.ensure_read(known.newest, 3)
    assert known.newest == 3


@pytest.mark.parametrize('keys', [['b'], ['a1'], ['a2', 'a1'], ['']])
def test_a_page_with_other_keys_is_unexpected(keys):
    ensure_page('a', 'a1', ['a2', 'a3'])
    with pytest.raises(UnexpectedResponse):
        ensure_page('a', 'a1', keys)


@pytest.mark.parametrize(
    ('revision', 'events'),
    [
        (3, []),
        (9, [Event('a', b'', 4)]),
        (9, [Event('a', b'', 5), Event('a', None, 3)]),
        (9, [Event('b', b'', 5)]),
    ],
)
def test_changes_from_before_a_watch_are_unexpected(revision, events):
    ensure_changes('a', 4, 4, [])
    ensure_changes('a', 4, 5, [Event('a', b'', 5)])
    with pytest.raises(UnexpectedResponse):
        ensure_changes('a', 4, revision, events)


@pytest.mark.parametrize(
    'answer',
    [
        LeaseAnswer(),
        LeaseAnswer(lease=5),
        LeaseAnswer(ttl_ms=5000),
        LeaseAnswer(lease=4, ttl_ms=5000),
        LeaseAnswer(lease=5, ttl_ms=5000, key='k'),
    ],
)
def test_an_answer_without_a_new_lease_is_no_grant(answer):
    assert ensure_granted(LeaseAnswer(lease=5, ttl_ms=5000), 4) == 5
    with pytest.raises(UnexpectedResponse):
        ensure_granted(answer, 4)


@pytest.mark.parametrize(
    'answer',
    [
        LeaseAnswer(),
        LeaseAnswer(lease=4),
        LeaseAnswer(ttl_ms=5000),
        LeaseAnswer(lease=4, ttl_ms=5000, read_revision=7),
    ],
)
def test_an_answer_about_the_lease_renews_it(answer):
    ensure_renewed(4, answer)


@pytest.mark.parametrize(
    'answer',
    [
        LeaseAnswer(lease=5, ttl_ms=5000),
        LeaseAnswer(lease=4, key='k', revision=7),
        LeaseAnswer(revision=7),
        LeaseAnswer(read_revision=7),
    ],
)
def test_an_answer_about_something_else_renews_no_lease(answer):
    with pytest.raises(UnexpectedResponse):
        ensure_renewed(4, answer)


def test_a_key_or_lease_exists_or_not():
    assert is_found('get', 200)
    assert not is_found('get', 404)
    with pytest.raises(StoreDown):
        is_found('get', 202)


@pytest.mark.parametrize(
    ('status', 'error'),
    [
        (404, LeaseLost),
        (403, StoreDown),
        (429, StoreDown),
        (503, StoreDown),
        (204, StoreUncertain),
        (500, StoreUncertain),
        (599, StoreUncertain),
    ],
)
def test_each_status_of_a_swap_tells_what_is_known(status, error):
    assert is_swapped(200)
    assert not is_swapped(412)
    with pytest.raises(StoreDown) as raised:
        is_swapped(status)
    assert type(raised.value) is error
