"""Responses that no request asked for, and responses in unusual shapes."""

import asyncio
import socket
import time
from contextlib import asynccontextmanager

import pytest

from cowslipfork_direct.http_client import (
    HttpClient,
    HttpResponseLost,
    UnexpectedResponse,
    within,
)
from cowslipfork_direct.http_connection import HttpRequest
from cowslipfork_direct.relay import Address

#: Seconds after which a second copy arrives on an idle connection.
LATER = 0.05


def response(content, extra=b''):
    length = f'Content-Length: {len(content)}\r\n'.encode()
    return b'HTTP/1.1 200 OK\r\n' + length + extra + b'\r\n' + content


class ScriptedServer:
    """Answers each request with what ``answer(path, writer)`` writes."""

    def __init__(self, answer):
        self._answer = answer
        self.connections = 0
        self.port = 0
        self.writers = []

    async def serve(self, reader, writer):
        self.connections += 1
        self.writers.append(writer)
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                path = head.split()[1].decode().removeprefix('/')
                await self._answer(path, writer)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()


@asynccontextmanager
async def scripted(answer):
    server = ScriptedServer(answer)
    listener = await asyncio.start_server(server.serve, '127.0.0.1', 0)
    server.port = listener.sockets[0].getsockname()[1]
    try:
        yield server
    finally:
        listener.close()
        for writer in server.writers:
            writer.transport.abort()
        await asyncio.sleep(0)


def send_while_stopped(writer, content):
    """Sends at once and stops the event loop until all has arrived."""
    descriptor = writer.get_extra_info('socket').fileno()
    with socket.socket(fileno=socket.dup(descriptor)) as peer:
        peer.send(content)
        time.sleep(LATER)


def client_of(server):
    return HttpClient(Address('127.0.0.1', server.port))


async def ask(client, path, seconds=1.0):
    reply = await client.request(
        HttpRequest('GET', f'/{path}'), within(seconds), lambda reply: reply
    )
    return reply.body.decode()


async def test_a_second_copy_in_one_piece_answers_no_later_request():
    async def twice(path, writer):
        writer.write(response(path.encode()) * 2)

    async with scripted(twice) as server:
        client = client_of(server)
        assert [await ask(client, path) for path in 'abc'] == list('abc')
        assert server.connections == 3


async def test_a_second_copy_on_an_idle_connection_answers_no_request():
    async def late(path, writer):
        writer.write(response(path.encode()))
        await asyncio.sleep(LATER)
        writer.write(response(path.encode()))

    async with scripted(late) as server:
        client = client_of(server)
        first = await ask(client, 'a')
        await asyncio.sleep(LATER * 2)
        assert (first, await ask(client, 'b')) == ('a', 'b')
        assert server.connections == 2


async def test_a_second_copy_before_a_close_answers_no_request():
    """Guards against a connection that has ended but holds unread bytes."""

    async def late(path, writer):
        writer.write(response(path.encode()))
        await asyncio.sleep(LATER)
        writer.write(response(path.encode()))
        writer.close()

    async with scripted(late) as server:
        client = client_of(server)
        first = await ask(client, 'a')
        await asyncio.sleep(LATER * 2)
        assert (first, await ask(client, 'b')) == ('a', 'b')


async def test_a_second_copy_that_the_event_loop_has_not_read_is_noticed():
    """Guards against a process that was stopped while the copy arrived."""

    async def once(path, writer):
        writer.write(response(path.encode()))

    async with scripted(once) as server:
        client = client_of(server)
        assert await ask(client, 'a') == 'a'
        send_while_stopped(server.writers[0], response(b'a'))
        assert await ask(client, 'b') == 'b'


@pytest.mark.parametrize('surplus', [b'x', b'\r\n', b'\x00\xff', b'HTTP/1.1 '])
@pytest.mark.parametrize('delay', [0, LATER])
async def test_extra_bytes_after_a_body_fail_no_later_request(surplus, delay):
    async def more(path, writer):
        writer.write(response(path.encode()) + surplus * (not delay))
        await asyncio.sleep(delay)
        writer.write(surplus * bool(delay))

    async with scripted(more) as server:
        client = client_of(server)
        first = await ask(client, 'a')
        await asyncio.sleep(delay * 2)
        assert (first, await ask(client, 'b')) == ('a', 'b')
        assert server.connections == 2


async def test_a_response_in_pieces_is_whole_and_keeps_its_connection():
    async def in_pieces(path, writer):
        for byte in response(path.encode()):
            writer.write(bytes([byte]))
            await asyncio.sleep(0)

    async with scripted(in_pieces) as server:
        client = client_of(server)
        assert [await ask(client, path) for path in 'abc'] == list('abc')
        assert server.connections == 1


@pytest.mark.parametrize('status', [b'100 Continue', b'103 Early Hints'])
async def test_an_interim_response_is_not_the_response(status):
    async def interim(path, writer):
        writer.write(b'HTTP/1.1 ' + status + b'\r\nLink: </x>\r\n\r\n')
        writer.write(response(path.encode()))

    async with scripted(interim) as server:
        client = client_of(server)
        assert [await ask(client, path) for path in 'ab'] == list('ab')
        assert server.connections == 1


async def test_a_response_without_a_length_ends_with_its_connection():
    async def unframed(path, writer):
        writer.write(b'HTTP/1.1 200 OK\r\n\r\n' + path.encode())
        writer.close()

    async with scripted(unframed) as server:
        client = client_of(server)
        assert [await ask(client, path) for path in 'ab'] == list('ab')
        assert server.connections == 2


@pytest.mark.parametrize(
    'garbage',
    [
        b'\x00\xff\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nContent-Length: 9\xb2\r\n\r\nx',
        b'HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nx',
        b'HTTP/1.1 200 OK\r\nContent-Length: ' + b'9' * 5000 + b'\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nContent-Length: 1, 2\r\n\r\nxy',
        b'HTTP/1.1 200 OK\r\n\xff\xfe: x\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n',
        b'HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n',
        b'HTTP/1.1 999999 OK\r\n\r\n',
        b'x' * 200_000,
    ],
)
async def test_garbage_is_no_response_and_ends_its_connection(garbage):
    async def answer(path, writer):
        writer.write(garbage if path == 'a' else response(path.encode()))

    async with scripted(answer) as server:
        client = client_of(server)
        with pytest.raises(HttpResponseLost):
            await ask(client, 'a', 0.2)
        assert await ask(client, 'b') == 'b'
        assert server.connections == 2


async def test_an_idle_connection_that_was_reset_carries_no_request():
    async def once(path, writer):
        writer.write(response(path.encode()))

    async with scripted(once) as server:
        client = client_of(server)
        first = await ask(client, 'a')
        server.writers[0].transport.abort()
        await asyncio.sleep(LATER)
        assert (first, await ask(client, 'b')) == ('a', 'b')


async def test_silent_connections_stay_open():
    async def once(path, writer):
        writer.write(response(path.encode()))

    async with scripted(once) as server:
        client = client_of(server)
        for _ in range(20):
            await asyncio.gather(ask(client, 'a'), ask(client, 'b'))
        assert server.connections == 2


async def test_a_refusal_ends_its_connection():
    """Guards against a late copy that refuses a request that was served."""

    async def refused(path, writer):
        writer.write(b'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n')

    async with scripted(refused) as server:
        client = client_of(server)
        assert [await ask(client, path) for path in 'abc'] == [''] * 3
        assert server.connections == 3


@pytest.mark.parametrize('error', [UnexpectedResponse, OSError, ValueError])
async def test_a_response_that_was_not_read_ends_its_connection(error):
    async def once(path, writer):
        writer.write(response(path.encode()))

    def fail(_):
        raise error('not asked for')

    async with scripted(once) as server:
        client = client_of(server)
        assert await ask(client, 'a') == 'a'
        with pytest.raises((HttpResponseLost, ValueError)):
            await client.request(HttpRequest('GET', '/b'), within(1), fail)
        assert await ask(client, 'c') == 'c'
        assert server.connections == 2


async def test_a_request_that_is_given_up_never_arrives():
    """Guards against a call that a partition holds up and delivers later."""
    end = asyncio.get_running_loop().create_future()

    async def serve(reader, writer):
        try:
            while await reader.read(1000):
                pass
            end.set_result(None)
        except ConnectionResetError as error:
            end.set_result(error)
        writer.close()

    listener = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = listener.sockets[0].getsockname()[1]
    client = HttpClient(Address('127.0.0.1', port))
    with pytest.raises(HttpResponseLost):
        await client.request(HttpRequest('GET', '/a'), within(0.1), repr)
    assert isinstance(await end, ConnectionResetError)
    listener.close()
