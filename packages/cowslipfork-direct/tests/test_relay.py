"""Relayed connections over real sockets on the loopback."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from cowslipfork_direct.relay import Address, Relay, RelayFailed, dial


@asynccontextmanager
async def listening(serve):
    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    try:
        yield Address('127.0.0.1', server.sockets[0].getsockname()[1])
    finally:
        server.close()


async def echo(reader, writer):
    while chunk := await reader.read(100):
        writer.write(chunk)
    writer.close()


async def test_bytes_are_passed_on_both_ways():
    async with listening(echo) as target:
        relay = Relay(lambda: {target})
        async with listening(relay.serve) as via:
            reader, writer = await dial(target, via)
            writer.write(b'hello')
            assert await reader.readexactly(5) == b'hello'
            writer.close()


async def test_the_end_of_the_target_ends_the_connection():
    async def close(_, writer):
        writer.close()

    async with listening(close) as target:
        relay = Relay(lambda: {target})
        async with listening(relay.serve) as via:
            reader, writer = await dial(target, via)
            assert await reader.read() == b''
            writer.close()


async def test_addresses_that_the_node_does_not_use_are_refused():
    async with listening(echo) as target:
        async with listening(Relay(lambda: set()).serve) as via:
            with pytest.raises(RelayFailed):
                await dial(target, via)


async def test_an_address_that_the_relay_does_not_reach_either_is_told():
    async with listening(echo) as target:
        gone = target
    relay = Relay(lambda: {gone})
    async with listening(relay.serve) as via:
        with pytest.raises(RelayFailed):
            await dial(gone, via)


@pytest.mark.parametrize(
    'hello',
    [b'\n', b'{}\n', b'{"to":{"host":1,"port":2}}\n', b'x' * 70_000, b''],
)
async def test_a_broken_hello_ends_the_connection(hello):
    async with listening(Relay(lambda: set()).serve) as via:
        reader, writer = await dial(via)
        writer.write(hello)
        if not hello:
            writer.write_eof()
        try:
            assert await reader.read() == b''
        except ConnectionResetError:
            pass
        writer.close()
