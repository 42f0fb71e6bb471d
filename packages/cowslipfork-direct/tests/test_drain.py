import pytest
from virtual_time import now, run_virtual

from cowslipfork_direct.drain import READINESS_PROPAGATION, drain

GRACE = 6


class Caller:
    def __init__(self, connections, *, busy_until=0.0, transaction=False):
        self._connections = connections
        self._busy_until = busy_until
        self.in_transaction = transaction
        self.closed_at = None
        self.aborted_at = None
        connections.add(self)

    @property
    def idle(self):
        return now() >= self._busy_until

    async def abort_transaction(self, cause):
        self.aborted_at = now()
        self.in_transaction = False

    def close(self):
        self.closed_at = now()
        self._connections.discard(self)


def draining(**caller):
    async def main():
        connections = set()
        one = Caller(connections, **caller)
        await drain(connections, GRACE)
        return one, now()

    return run_virtual(main())


def test_idle_connections_are_closed_once_callers_go_elsewhere():
    one, ended = draining()
    assert one.closed_at == pytest.approx(READINESS_PROPAGATION, abs=0.1)
    assert ended < GRACE / 2


def test_a_request_under_way_is_awaited():
    one, _ = draining(busy_until=4.0)
    assert one.closed_at == pytest.approx(4, abs=0.1)


def test_a_transaction_has_the_first_half_of_the_grace():
    one, _ = draining(transaction=True)
    assert one.aborted_at == pytest.approx(GRACE / 2, abs=0.1)
    assert one.closed_at is not None


def test_a_transaction_whose_statement_runs_is_aborted_when_it_has_ended():
    one, _ = draining(transaction=True, busy_until=3.5)
    assert one.aborted_at is not None
    assert 3.5 <= one.aborted_at < GRACE


def test_a_node_ends_before_it_is_killed():
    one, ended = draining(busy_until=100.0)
    assert one.closed_at is None
    assert ended < GRACE
