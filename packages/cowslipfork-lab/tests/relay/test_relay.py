"""What a relay lets through, in order and by direction."""

from __future__ import annotations

import asyncio
import os
import socket
import struct
from contextlib import asynccontextmanager

import pytest

from cowslipfork_lab.relay import Relay, Rule, Rules, TrafficPolicy
from cowslipfork_lab.relay.owners import UNKNOWN_PROCESS, owner_of
from cowslipfork_lab.relay.rules import ANY

SILENT = Rule(policy=TrafficPolicy.SILENT)
REFUSED = Rule(policy=TrafficPolicy.REFUSED)


@asynccontextmanager
async def echo_behind_relay():
    async def echo(reader, writer):
        while line := await reader.readline():
            writer.write(line)
        writer.close()

    server = await asyncio.start_server(echo, '127.0.0.1', 0)
    relay = Relay()
    relay.register_process(os.getpid(), 'me')
    port = await relay.listen('echo', server.sockets[0].getsockname()[1])
    try:
        yield relay, port
    finally:
        await relay.close()
        server.close()


@pytest.mark.parametrize(
    ('rules', 'expected'),
    [
        ([], Rule()),
        ([((ANY, ANY), Rule(1))], Rule(1)),
        ([((ANY, ANY), Rule(1)), ((ANY, 'b'), Rule(2))], Rule(2)),
        ([(('a', ANY), Rule(3)), ((ANY, 'b'), Rule(2))], Rule(3)),
        ([(('a', 'b'), Rule(4)), (('a', ANY), Rule(3))], Rule(4)),
        ([(('b', 'a'), Rule(4))], Rule()),
    ],
)
async def test_most_specific_rule_holds(rules, expected):
    book = Rules()
    for (source, destination), rule in rules:
        book.set(source, destination, rule)
    assert book.find('a', 'b') == expected


async def test_delayed_bytes_arrive_whole_and_in_order():
    async with echo_behind_relay() as (relay, port):
        relay.rules.set(ANY, ANY, Rule(delay=0.001))
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        lines = [b'%d\n' % number for number in range(50)]
        for line in lines:
            writer.write(line)
            await writer.drain()
        assert [await reader.readline() for _ in lines] == lines
        writer.close()


@pytest.mark.parametrize(
    'direction',
    [('me', 'echo'), ('echo', 'me'), ('me', ANY)],
)
async def test_silent_direction_holds_bytes_until_it_heals(direction):
    async with echo_behind_relay() as (relay, port):
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(b'before\n')
        assert await reader.readline() == b'before\n'
        relay.rules.set(*direction, SILENT)
        writer.write(b'held\n')
        answer = asyncio.create_task(reader.readline())
        await asyncio.sleep(0.02)
        assert not answer.done()
        relay.rules.set(*direction, Rule())
        assert await answer == b'held\n'
        writer.close()


async def test_refused_direction_ends_connections():
    async with echo_behind_relay() as (relay, port):
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        relay.rules.set('me', 'echo', REFUSED)
        writer.write(b'lost\n')
        assert await reader.read() == b''
        again, writer_again = await asyncio.open_connection('127.0.0.1', port)
        assert await again.read() == b''
        writer.close()
        writer_again.close()


async def test_connections_of_strangers_have_a_name():
    assert owner_of(1, 1, {os.getpid(): 'me'}) == UNKNOWN_PROCESS


async def test_a_dark_listener_neither_answers_nor_refuses():
    async with echo_behind_relay() as (relay, port):
        relay.block_port('echo')
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.2):
                await asyncio.open_connection('127.0.0.1', port)
        await relay.unblock_port('echo')
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(b'again\n')
        assert await reader.readline() == b'again\n'
        writer.close()


async def test_open_connections_are_reset():
    async with echo_behind_relay() as (relay, port):
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(b'one\n')
        assert await reader.readline() == b'one\n'
        relay.reset('me', 'echo')
        assert await reader.read() == b''
        writer.close()


async def test_hushed_connections_stay_silent_while_new_ones_work():
    async with echo_behind_relay() as (relay, port):
        old_reader, old_writer = await asyncio.open_connection(
            '127.0.0.1',
            port,
        )
        old_writer.write(b'one\n')
        assert await old_reader.readline() == b'one\n'
        relay.drop_traffic(ANY, 'echo')
        old_writer.write(b'two\n')
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(b'three\n')
        assert await reader.readline() == b'three\n'
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await old_reader.readline()
        writer.close()
        old_writer.close()


@pytest.mark.parametrize(
    ('linger', 'expected'), [(False, b'held'), (True, b'')]
)
async def test_held_up_bytes_are_lost_only_if_their_sender_resets(
    linger, expected
):
    """Guards against a stand-in that delivers what was taken back."""
    received = bytearray()
    ended = asyncio.Event()

    async def record(reader, _):
        received.extend(await reader.read())
        ended.set()

    server = await asyncio.start_server(record, '127.0.0.1', 0)
    relay = Relay()
    port = await relay.listen('far', server.sockets[0].getsockname()[1])
    _, writer = await asyncio.open_connection('127.0.0.1', port)
    await asyncio.sleep(0.05)
    relay.rules.set(ANY, 'far', SILENT)
    writer.write(b'held')
    await asyncio.sleep(0.05)
    if linger:
        own_end = writer.get_extra_info('socket')
        no_linger = struct.pack('ii', 1, 0)
        own_end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
    writer.close()
    await asyncio.sleep(0.05)
    relay.rules.set(ANY, 'far', Rule())
    async with asyncio.timeout(5):
        await ended.wait()
    assert received == expected
    await relay.close()
    server.close()
