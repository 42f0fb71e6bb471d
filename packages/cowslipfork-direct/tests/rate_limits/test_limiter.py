"""What a limiter grants, with the votes of all nodes given."""

import pytest

from cowslipfork.ids import Revision, VmId, WorkspaceName
from cowslipfork_direct.rate_limits import (
    Acquire,
    Granted,
    Limiter,
    LimiterContext,
    LimitInForce,
    NotLimiter,
    Report,
    Votes,
)
from cowslipfork_direct.rate_limits.limits import first_tokens
from cowslipfork_direct.routes import RateLimit

W = WorkspaceName('w')
ME = VmId('n0')
#: First tokens of a limit of 100 a second with a burst of 50: a sixth of
#: (100 x 5 + 50) x 0.1 + 20.
FIRST = 12
NODES = [VmId(f'n{number}') for number in range(10)]


class Stage:
    """A limiter whose time and votes the test controls."""

    def __init__(self, rate=100, burst=50):
        self.now = 0.0
        self.limit = LimitInForce(RateLimit(rate, burst), Revision(5))
        self.votes = Votes(ME, lambda: NODES)
        self.limiter = Limiter(
            LimiterContext(
                lambda _: self.limit,
                lambda: [W],
                lambda: len(NODES),
                lambda: self.now,
            ),
            self.votes,
        )

    def pass_time(self, seconds, heard=10, falling_back=0):
        """Lets nodes report every 0.1 s."""
        for _ in range(round(seconds * 10)):
            self.now = round(self.now + 0.1, 6)
            for number, node in enumerate(NODES[:heard]):
                falls_back = number < falling_back
                self.limiter.report(
                    Report(node, ((ME,),), self.now, falls_back),
                )

    def acquire(self, operations, **fields):
        limit = fields.pop('limit', self.limit.limit)
        revision = fields.pop('revision', self.limit.revision)
        return self.limiter.acquire(
            Acquire(W, operations, limit, Revision(revision), **fields),
        )

    def granted(self, operations=10_000, **fields):
        reply = self.acquire(operations, **fields)
        assert isinstance(reply, Granted)
        return reply.operations


def test_a_node_without_a_majority_grants_nothing():
    stage = Stage()
    stage.pass_time(1, heard=5)
    assert isinstance(stage.acquire(1), NotLimiter)


def test_a_limiter_starts_without_a_saved_burst():
    """Its predecessor may have granted the burst just before it died."""
    stage = Stage()
    stage.pass_time(0.1)
    assert stage.granted() == FIRST
    stage.pass_time(0.2)
    assert stage.granted() == 20


@pytest.mark.parametrize(
    ('rate', 'burst'), [(0, 0), (1, 0), (1, 1), (14, 14), (74, 74), (10, 1000)]
)
def test_first_tokens_of_several_limiters_stay_within_the_excess(rate, burst):
    """Guards the bound while the limiter is replaced again and again."""
    accepted = (rate * 5 + burst) * 0.1 + 20
    first = first_tokens(RateLimit(rate, burst))
    assert first <= burst
    assert 5 * first < accepted


def test_the_burst_accumulates_before_the_first_operation_asks():
    stage = Stage()
    stage.pass_time(5)
    assert stage.granted() == 50


def test_a_limiter_that_lost_its_majority_starts_again():
    """Another node may have been the limiter in between."""
    stage = Stage()
    stage.pass_time(5)
    stage.now += 3
    assert isinstance(stage.acquire(1), NotLimiter)
    stage.pass_time(0.1)
    assert stage.granted() == FIRST


def test_a_bucket_of_an_earlier_tenure_is_not_used():
    stage = Stage()
    stage.pass_time(5)
    stage.granted()
    stage.now += 3
    stage.pass_time(0.1)
    assert stage.granted() == FIRST


def test_the_shares_of_nodes_that_are_not_heard_are_subtracted():
    stage = Stage()
    stage.pass_time(5)
    stage.pass_time(2, heard=6)
    stage.granted()
    stage.pass_time(0.5, heard=6)
    assert stage.granted() in {39, 40}


def test_the_shares_of_nodes_that_say_they_fall_back_are_subtracted():
    """A node may be heard and still get no replies."""
    stage = Stage()
    stage.pass_time(5)
    stage.granted()
    stage.pass_time(0.2, falling_back=4)
    stage.granted()
    stage.pass_time(0.5, falling_back=4)
    assert stage.granted() in {39, 40}


def test_the_newest_limit_counts_whoever_knows_it():
    stage = Stage(rate=100, burst=50)
    stage.pass_time(12)
    assert stage.granted(limit=RateLimit(1, 5), revision=6) == 5
    assert stage.granted(limit=RateLimit(100, 50), revision=5) == 0
    stage.pass_time(2)
    assert stage.granted() == 2


def test_an_older_limit_is_not_applied():
    stage = Stage(rate=1, burst=5)
    stage.pass_time(12)
    assert stage.granted(limit=RateLimit(100, 50), revision=4) == 5


def test_a_limit_that_was_removed_grants_everything():
    stage = Stage(rate=1, burst=1)
    stage.pass_time(5)
    assert stage.granted(limit=None, revision=6) == 10_000


def test_a_rejection_tells_when_there_is_another_token():
    stage = Stage(rate=10, burst=5)
    stage.pass_time(5)
    reply = stage.acquire(25)
    assert reply.operations == 5
    assert reply.token_after_ms == pytest.approx(100, abs=2)
    # The twentieth rejected caller waits for twenty tokens.
    assert reply.last_retry_ms == pytest.approx(2100, abs=10)


def test_operations_refused_at_entry_nodes_count_in_the_time_to_retry():
    stage = Stage(rate=10, burst=5)
    stage.pass_time(5)
    stage.granted()
    stage.pass_time(10)
    reply = stage.acquire(6, refused=9)
    assert reply.last_retry_ms == pytest.approx(1100, abs=10)


def test_returned_tokens_are_granted_again():
    stage = Stage()
    stage.pass_time(5)
    assert stage.granted(50) == 50
    assert stage.granted(50, returned=30, returned_age_ms=0) == 30


def test_tokens_of_an_earlier_tenure_are_not_returned():
    stage = Stage(rate=10)
    stage.pass_time(5)
    stage.now += 3
    stage.pass_time(1)
    assert stage.granted(50) <= 10
    assert stage.granted(50, returned=30, returned_age_ms=4000) == 0


def test_full_and_unused_buckets_are_forgotten_without_a_loss():
    stage = Stage()
    stage.pass_time(5)
    stage.granted()
    stage.limiter.tick()
    assert stage.limiter.buckets == 1
    stage.pass_time(5)
    stage.limiter.tick()
    assert stage.limiter.buckets == 0
    assert stage.granted() == 50
