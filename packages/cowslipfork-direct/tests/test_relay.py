"""Relayed connections over real sockets on the loopback interface."""

import asyncio
import gc
import json
from contextlib import asynccontextmanager, suppress

import pytest
from direct_fakes.recording_server import RecordingServer
from hypothesis import given, settings
from hypothesis import strategies as st

from cowslipfork_direct import relay as relay_module
from cowslipfork_direct.connection_reset import reset
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


def hello_to(address):
    target = {'host': address.host, 'port': address.port}
    return json.dumps({'to': target}).encode() + b'\n'


#: Bytes as they are sent one after the other.
pieces = st.lists(
    st.binary(max_size=20)
    | st.sampled_from([b'\r', b'\n', b'\r\n', b'\x00', b'{"to":', b'\xff'])
    | st.just(70_000 * b'\n'),
    max_size=5,
)


async def send_pieces(writer, content):
    for piece in content:
        writer.write(piece)
        await writer.drain()
        await asyncio.sleep(0)


@settings(max_examples=50, deadline=None)
@given(pieces, pieces, st.integers(1, 60))
def test_all_bytes_pass_unchanged(there, back, cut):
    """Guards against bytes that are lost or changed around the first line."""
    received = []

    async def answer(reader, writer):
        # The target speaks first, so that its bytes follow the relay's answer.
        await send_pieces(writer, back)
        received.append(await reader.readexactly(len(b''.join(there))))
        writer.write(b'end')
        writer.close()

    async def main():
        async with listening(answer) as target:
            async with listening(Relay(lambda: {target}).serve) as via:
                reader, writer = await asyncio.open_connection(
                    via.host, via.port
                )
                first = hello_to(target) + b''.join(there[:1])
                await send_pieces(writer, [first[:cut], first[cut:]])
                await send_pieces(writer, there[1:])
                line = await reader.readline()
                answered = await reader.read()
                writer.close()
                return line, answered

    line, answered = asyncio.run(main())
    assert json.loads(line) == {'reached': True}
    assert answered == b''.join(back) + b'end'
    assert received == [b''.join(there)]


#: Bytes that wait in a relay, too few for it to stop reading.
UNSENT = 20_000


async def write_until_waiting(writer, writers):
    """Writes until bytes wait in the relay; returns how many were written."""
    written = 0
    while writers[-1].transport.get_write_buffer_size() < UNSENT:
        writer.write(1000 * b'x')
        await writer.drain()
        await asyncio.sleep(0)
        written += 1000
    writer.close()
    return written


async def read_slowly(reader):
    await asyncio.sleep(0.2)
    received = 0
    while chunk := await reader.read(65_536):
        received += len(chunk)
    return received


async def test_an_answer_that_ends_its_connection_arrives_whole():
    """Guards against an answer whose end is lost where it is read slowly."""
    writers = []
    written = asyncio.get_running_loop().create_future()

    async def answer(_, writer):
        written.set_result(await write_until_waiting(writer, writers))

    async with listening(answer) as target:
        relay = Relay(lambda: {target})

        async def serve(reader, writer):
            writers.append(writer)
            await relay.serve(reader, writer)

        async with listening(serve) as via:
            reader, writer = await dial(target, via)
            count = await written
            assert await read_slowly(reader) == count
            writer.close()


async def test_a_request_that_ends_its_connection_arrives_whole(monkeypatch):
    """Guards against a request whose end is lost where it is read slowly."""
    writers = []
    received = asyncio.get_running_loop().create_future()
    open_connection = relay_module._open

    async def open_and_keep(address, limit):
        streams = await open_connection(address, limit)
        writers.append(streams[1])
        return streams

    async def receive(reader, writer):
        await asyncio.sleep(0.5)
        received.set_result(await read_slowly(reader))
        writer.close()

    async with listening(receive) as target:
        async with listening(Relay(lambda: {target}).serve) as via:
            monkeypatch.setattr(relay_module, '_open', open_and_keep)
            _, writer = await dial(target, via)
            count = await write_until_waiting(writer, writers)
            assert await received == count


async def test_a_side_that_reads_nothing_is_left_at_the_time_out(monkeypatch):
    """Guards against connections that are kept for ever."""
    monkeypatch.setattr(relay_module, 'FLUSH_TIMEOUT', 0.1, raising=False)
    writers = []
    done = asyncio.Event()

    async def answer(_, writer):
        await write_until_waiting(writer, writers)

    async with listening(answer) as target:
        relay = Relay(lambda: {target})

        async def serve(reader, writer):
            writers.append(writer)
            await relay.serve(reader, writer)
            done.set()

        async with listening(serve) as via:
            _, writer = await dial(target, via)
            async with asyncio.timeout(5):
                await done.wait()
            assert writers[0].transport.is_closing()
            writer.close()


@pytest.mark.parametrize('resets', ['caller', 'target'])
async def test_a_reset_ends_the_other_side_without_an_error(resets):
    """Guards against tasks that die with an error that nobody handles."""
    unhandled = []
    asyncio.get_running_loop().set_exception_handler(
        lambda _, context: unhandled.append(context)
    )
    ended = asyncio.Event()

    async def serve(reader, writer):
        if resets == 'target':
            await reader.readexactly(5)
            writer.transport.abort()
        with suppress(ConnectionResetError):
            await reader.read()
        ended.set()

    async with listening(serve) as target:
        async with listening(Relay(lambda: {target}).serve) as via:
            reader, writer = await dial(target, via)
            writer.write(b'hello, this is not read to its end')
            await asyncio.sleep(0.05)
            if resets == 'caller':
                writer.transport.abort()
            else:
                with suppress(ConnectionResetError):
                    assert await reader.read() == b''
                writer.close()
            async with asyncio.timeout(5):
                await ended.wait()
    await asyncio.sleep(0.05)
    gc.collect()
    assert unhandled == []


@pytest.mark.parametrize(
    'answer', [b'\n', b'{}\n', b'', 70_000 * b'x', b'[' * 5000 + b'\n']
)
async def test_an_odd_answer_of_a_relay_is_a_failure(answer):
    """Guards against an error that ends the task of a caller."""

    async def serve(reader, writer):
        await reader.readline()
        writer.write(answer)
        await writer.drain()
        writer.close()

    async with listening(serve) as via:
        with pytest.raises(RelayFailed):
            await dial(Address('127.0.0.1', 1), via)


def address_of(server):
    return Address('127.0.0.1', server.port)


async def test_a_request_that_is_reset_is_reset_at_its_target():
    """Guards against a store's write that arrives after it was given up."""
    async with RecordingServer() as recording:
        target = address_of(recording)
        async with listening(Relay(lambda: {target}).serve) as via:
            _, writer = await dial(target, via)
            writer.write(b'request')
            await recording.begun.wait()
            reset(writer)
            assert isinstance(await recording.end, ConnectionResetError)


async def test_a_request_before_a_close_is_delivered():
    """Guards against a relay that resets what it has yet to deliver."""
    content = bytes(1_000_000)
    async with RecordingServer() as recording:
        target = address_of(recording)
        async with listening(Relay(lambda: {target}).serve) as via:
            _, writer = await dial(target, via)
            writer.write(content)
            writer.close()
            assert await recording.end is None
    assert recording.received == content


async def test_the_end_of_a_relay_resets_its_connections():
    """Guards against a request that arrives though its relay was stopped."""
    serving = []

    async def serve(reader, writer):
        serving.append(asyncio.current_task())
        await Relay(lambda: {target}).serve(reader, writer)

    async with RecordingServer() as recording:
        target = address_of(recording)
        async with listening(serve) as via:
            _, writer = await dial(target, via)
            writer.write(b'request')
            await recording.begun.wait()
            serving[0].cancel()
            assert isinstance(await recording.end, ConnectionResetError)
            writer.close()
