import asyncio

import asyncmy
import pytest
from asyncmy.errors import OperationalError

from cowslipfork.configuration import Endpoint
from cowslipfork.ids import EndpointId, FailureDomain
from cowslipfork_proxy.endpoints import (
    ConnectionBroken,
    EndpointConnection,
    EndpointRefused,
    Login,
    open_connection,
)

LONG = 1000
ENDPOINT = Endpoint(
    EndpointId('a'),
    '127.0.0.1',
    1,
    FailureDomain('d'),
    slots=1,
    connections=1,
)


async def swallow_cancellation(**settings):
    # As the driver does when a refusal comes together with a cancellation.
    try:
        await asyncio.sleep(LONG)
    except BaseException as error:
        raise OperationalError(2003, 'cannot connect') from error


async def test_a_cancelled_connect_ends_the_task(monkeypatch):
    monkeypatch.setattr(asyncmy, 'connect', swallow_cancellation)
    task = asyncio.ensure_future(open_connection(ENDPOINT, Login(), '', LONG))
    await asyncio.sleep(0)
    task.cancel()

    with pytest.raises(asyncio.CancelledError):
        await task


async def test_a_connect_that_takes_too_long_is_broken(monkeypatch):
    monkeypatch.setattr(asyncmy, 'connect', swallow_cancellation)

    with pytest.raises(ConnectionBroken):
        await open_connection(ENDPOINT, Login(), '', 0)


class FailingDriver:
    """A driver's connection whose every statement ends the same way."""

    def __init__(self, failure):
        self.failure = failure
        self.closed = False

    async def query(self, sql):
        if self.failure is None:
            await asyncio.sleep(LONG)
        raise self.failure

    def close(self):
        self.closed = True


@pytest.mark.parametrize(
    ('failure', 'expected', 'usable'),
    [
        (None, ConnectionBroken, False),
        (OperationalError(2013, 'lost'), ConnectionBroken, False),
        (OperationalError(0, 'not connected'), ConnectionBroken, False),
        (ConnectionResetError(), ConnectionBroken, False),
        (OperationalError(1062, 'duplicate'), EndpointRefused, True),
        (OperationalError(4701, 'stale'), EndpointRefused, True),
    ],
)
async def test_only_a_whole_answer_leaves_a_connection_usable(
    failure,
    expected,
    usable,
):
    driver = FailingDriver(failure)
    connection = EndpointConnection(ENDPOINT.name, driver)

    with pytest.raises(expected):
        await connection.command('SELECT 1', timeout=0 if not failure else LONG)

    assert connection.usable is usable
    assert driver.closed is not usable
