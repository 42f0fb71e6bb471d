"""Requests whose process is stopped while the other end receives nothing."""

import asyncio
import signal
import socket
import sys

import pytest

#: Sends a request that is longer than the other end's receive window.
PROGRAM = """
import asyncio, sys
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.http_client import HttpClient, within
from cowslipfork_direct.http_connection import HttpRequest
from cowslipfork_direct.relay import Address
client = HttpClient(Address('127.0.0.1', int(sys.argv[1])))
deadline = boot_time() + float(sys.argv[2])
request = HttpRequest('POST', '/', bytes(500_000), deadline=deadline)
asyncio.run(client.request(request, within(60), lambda reply: reply))
"""

#: Seconds after which a request must not arrive any more.
DEADLINE = 1.0


class NarrowServer:
    """Receives little before it is asked to read."""

    def __init__(self):
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self._listener.bind(('127.0.0.1', 0))
        self._listener.listen()
        self._listener.setblocking(False)

    @property
    def port(self):
        return self._listener.getsockname()[1]

    async def accept(self):
        loop = asyncio.get_running_loop()
        connection, _ = await loop.sock_accept(self._listener)
        return connection

    def close(self):
        self._listener.close()


async def read_all(connection):
    loop = asyncio.get_running_loop()
    while await loop.sock_recv(connection, 65_536):
        pass


async def test_the_kernel_resets_a_late_request_of_a_stopped_process():
    """Guards against an order that a stopped process cannot take back."""
    server = NarrowServer()
    process = await asyncio.create_subprocess_exec(
        sys.executable, '-c', PROGRAM, str(server.port), str(DEADLINE)
    )
    connection = await server.accept()
    # The kernel holds what the window has no room for.
    await asyncio.sleep(DEADLINE / 2)
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(DEADLINE + 1)
    try:
        async with asyncio.timeout(5):
            with pytest.raises(ConnectionResetError):
                await read_all(connection)
    finally:
        process.kill()
        await process.wait()
        connection.close()
        server.close()
