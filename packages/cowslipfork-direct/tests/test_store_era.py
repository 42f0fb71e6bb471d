"""Answers of another era of the store prove nothing."""

import pytest

from cowslipfork.store import EraEnded, StoreEra
from cowslipfork_direct.store_era import EraTracker


def tracker_at(era):
    eras = EraTracker()
    eras.check('get', None, StoreEra(era))
    return eras


def test_an_answer_of_the_present_era_is_accepted():
    eras = tracker_at(3)
    eras.check('get', StoreEra(3), StoreEra(3))
    assert eras.current == 3
    assert not eras.restored


@pytest.mark.parametrize(('begun', 'answered'), [(3, 4), (3, 2), (2, 3)])
def test_an_answer_across_eras_proves_nothing(begun, answered):
    eras = tracker_at(3)
    with pytest.raises(EraEnded):
        eras.check('keep', StoreEra(begun), StoreEra(answered))


def test_a_new_era_is_told_before_its_first_answer_is_refused():
    eras = tracker_at(3)
    told = []
    eras.listen(lambda ended, era: told.append((ended, era)))
    with pytest.raises(EraEnded):
        eras.check('keep', StoreEra(3), StoreEra(4))
    eras.check('keep', StoreEra(4), StoreEra(4))
    assert told == [(3, 4)]


def test_a_refusal_without_an_era_is_no_new_era():
    eras = tracker_at(3)
    eras.check('get', StoreEra(3), None)
    assert eras.current == 3
