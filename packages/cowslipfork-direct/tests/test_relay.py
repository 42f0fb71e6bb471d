"""Relayed connections over real sockets on the loopback interface."""

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


async def test_bytes_are_forwarded_in_both_directions():
    async with listening(echo) as target:
        relay = Relay(lambda: {target})
        async with listening(relay.serve) as via:
            reader, writer = await dial(target, via)
            writer.write(b'hello')
            assert await reader.readexactly(5) == b'hello'
            writer.close()


async def test_the_connection_ends_when_the_target_closes():
    async def close(_, writer):
        writer.close()

    async with listening(close) as target:
        relay = Relay(lambda: {target})
        async with listening(relay.serve) as via:
            reader, writer = await dial(target, via)
            assert await reader.read() == b''
            writer.close()


async def test_an_address_that_is_not_allowed_is_refused():
    async with listening(echo) as target:
        async with listening(Relay(lambda: set()).serve) as via:
            with pytest.raises(RelayFailed):
                await dial(target, via)


async def test_an_address_that_the_relay_cannot_reach_fails():
    async with listening(echo) as target:
        closed = target
    relay = Relay(lambda: {closed})
    async with listening(relay.serve) as via:
        with pytest.raises(RelayFailed):
            await dial(closed, via)


@pytest.mark.parametrize(
    'hello',
    [b'\n', b'{}\n', b'{"to":{"host":1,"port":2}}\n', b'x' * 70_000, b''],
)
async def test_a_malformed_hello_ends_the_connection(hello):
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


@pytest.mark.parametrize(
    'address',
    [
        Address('127.0.0.1', 65_536),
        Address('127.0.0.1', -1),
        Address('127.0.0.1', 10**400),
        Address('127.0.0\0.1', 80),
        Address('a' * 64, 80),
        Address('', 80),
    ],
)
async def test_an_address_that_cannot_exist_fails_like_an_unreachable_one(
    address,
):
    """Guards against callers whose connections end without an answer."""
    with pytest.raises(OSError):
        await dial(address)
    with pytest.raises(OSError):
        await dial(Address('127.0.0.1', 1), address)
