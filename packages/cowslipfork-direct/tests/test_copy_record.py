"""Endpoints that repeat their replies are distrusted for a time."""

from cowslipfork_direct.copy_record import DISTRUST_TIME, CopyRecord
from cowslipfork_direct.reply_matching import Match


def test_a_copy_makes_its_endpoint_distrusted_for_a_time():
    now = [10.0]
    copies = CopyRecord(lambda: now[0])
    assert not copies.repeats('e1')
    copies.record_copy('e1')
    assert copies.repeats('e1')
    assert not copies.repeats('e2')
    now[0] += DISTRUST_TIME
    assert not copies.repeats('e1')


def test_unmatched_replies_are_counted_by_their_match():
    copies = CopyRecord(lambda: 0)
    copies.count(Match.REPEATED)
    copies.count(Match.REPEATED)
    copies.count(Match.SURPLUS)
    assert copies.counts == {'repeated': 2, 'surplus': 1}
    assert not copies.repeats('e1')
