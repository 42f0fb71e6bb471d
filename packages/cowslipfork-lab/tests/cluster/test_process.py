"""Children start beside any library, and end with their driver."""

import asyncio
import signal
import sys
from contextlib import asynccontextmanager, suppress
from pathlib import Path

import grpc

from cowslipfork_lab.cluster import ChildProcess

#: Children that are started beside gRPC's threads.
CHILDREN = 60

#: Seconds within which a child has ended.
ENDED = 10

DRIVER = """
import asyncio
import sys
from pathlib import Path
from cowslipfork_lab.cluster import ChildProcess

async def main():
    command = (sys.executable, '-c', 'import time; time.sleep(600)')
    child = ChildProcess('child', command, Path(sys.argv[1]))
    await child.start()
    print(child.pid, flush=True)
    await asyncio.sleep(600)

asyncio.run(main())
"""


@asynccontextmanager
async def grpc_calls():
    """Keeps the threads of gRPC at work."""
    server = grpc.aio.server()
    port = server.add_insecure_port('127.0.0.1:0')
    await server.start()
    async with grpc.aio.insecure_channel(f'127.0.0.1:{port}') as channel:
        calling = asyncio.create_task(call_again(channel))
        yield
        calling.cancel()
    await server.stop(None)


async def call_again(channel):
    call = channel.unary_unary('/missing/Call')
    while True:
        with suppress(grpc.RpcError):
            await call(b'')
        await asyncio.sleep(0.001)


async def test_children_start_beside_calls_of_grpc(tmp_path):
    """Guards against children that abort in the fork handlers of gRPC."""
    command = (sys.executable, '-S', '-c', 'pass')
    statuses = set()
    async with grpc_calls():
        for number in range(CHILDREN):
            child = ChildProcess(f'child-{number}', command, tmp_path)
            await child.start()
            async with asyncio.timeout(ENDED):
                statuses.add(await child.ended())
    assert statuses == {0}


def runs(pid):
    """Whether a process runs; one that nobody has waited for does not."""
    try:
        stat = Path(f'/proc/{pid}/stat').read_text()
    except (FileNotFoundError, ProcessLookupError):
        return False
    return stat.rpartition(') ')[2][0] != 'Z'


async def test_a_child_ends_with_its_killed_driver(tmp_path):
    driver = await asyncio.create_subprocess_exec(
        sys.executable,
        '-c',
        DRIVER,
        str(tmp_path),
        stdout=asyncio.subprocess.PIPE,
    )
    child = int(await driver.stdout.readline())
    assert runs(child)
    driver.send_signal(signal.SIGKILL)
    await driver.wait()
    async with asyncio.timeout(ENDED):
        while runs(child):  # noqa: ASYNC110
            await asyncio.sleep(0.01)


async def test_a_child_is_in_a_process_group_of_its_own(tmp_path):
    """Guards against signals of the terminal that reach children twice."""
    command = (sys.executable, '-c', 'import os; print(os.getpgrp())')
    child = ChildProcess('child', command, tmp_path)
    await child.start()
    assert await child.ended() == 0
    assert child.log.read_text().strip() == str(child.pid)
