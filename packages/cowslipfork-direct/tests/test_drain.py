import pytest
from virtual_time import now, run_virtual

from cowslipfork_direct.drain import READINESS_PROPAGATION, drain

GRACE = 6


class Connection:
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


def drain_one(**caller):
    async def main():
        connections = set()
        connection = Connection(connections, **caller)
        await drain(connections, GRACE)
        return connection, now()

    return run_virtual(main())


def test_an_idle_connection_is_closed_after_readiness_has_propagated():
    connection, ended = drain_one()
    assert connection.closed_at == pytest.approx(READINESS_PROPAGATION, abs=0.1)
    assert ended < GRACE / 2


def test_a_connection_is_closed_only_after_its_request_has_ended():
    connection, _ = drain_one(busy_until=4.0)
    assert connection.closed_at == pytest.approx(4, abs=0.1)


def test_a_transaction_is_aborted_after_half_of_the_grace_period():
    connection, _ = drain_one(transaction=True)
    assert connection.aborted_at == pytest.approx(GRACE / 2, abs=0.1)
    assert connection.closed_at is not None


def test_a_transaction_is_not_aborted_while_its_statement_runs():
    connection, _ = drain_one(transaction=True, busy_until=3.5)
    assert connection.aborted_at is not None
    assert 3.5 <= connection.aborted_at < GRACE


def test_draining_ends_before_the_process_is_killed():
    connection, ended = drain_one(busy_until=100.0)
    assert connection.closed_at is None
    assert ended < GRACE
