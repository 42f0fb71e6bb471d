"""Callers who connect as the listening socket is closed."""

import asyncio
import socket

import pytest

from cowslipfork_direct.caller_listener import CallerListener
from cowslipfork_direct.connected_caller import (
    CallerActivity,
    ConnectedCaller,
)
from cowslipfork_direct.connected_callers import ConnectedCallers
from cowslipfork_direct.relay import Address

MAX_LINE = 1000


async def listen():
    """Returns a listener that echoes a line, its callers and its port."""
    callers = ConnectedCallers()

    async def serve(reader, writer):
        caller = ConnectedCaller(lambda: reader.unread, writer.close)
        with callers.connection_of(caller):
            writer.write(await reader.readuntil(b'\n'))
            writer.close()
            await writer.wait_closed()

    listener = CallerListener(serve, callers, MAX_LINE)
    server = await listener.listen(Address('127.0.0.1', 0))
    return listener, callers, server.sockets[0].getsockname()[1]


async def test_callers_who_wait_in_the_backlog_are_accepted_at_the_end():
    """Guards against connections that a closing socket resets."""
    listener, callers, port = await listen()
    waiting = [socket.create_connection(('127.0.0.1', port)) for _ in range(5)]
    assert callers.count_by_activity().total() == 0
    listener.stop_accepting()
    await asyncio.sleep(0.05)
    counts = callers.count_by_activity()
    assert counts == {CallerActivity.STARTING: len(waiting)}
    for connected in waiting:
        connected.sendall(b'a line\n')
    await asyncio.sleep(0.05)
    assert {connected.recv(100) for connected in waiting} == {b'a line\n'}
    assert callers.count_by_activity().total() == 0
    for connected in waiting:
        connected.close()


async def test_nobody_connects_to_a_closed_listener():
    listener, _, port = await listen()
    listener.stop_accepting()
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(('127.0.0.1', port))


async def test_a_connection_counts_from_its_acceptance_on():
    """Guards against an end between accepting a caller and serving it."""
    listener, callers, _ = await listen()
    listener._make_protocol()
    assert callers.count_by_activity() == {CallerActivity.STARTING: 1}
    assert callers.last_accepted_at > 0
    listener.stop_accepting()
