"""Lines that are no frames, and messages that cannot be handled."""

import asyncio
import json

import pytest
from direct_fakes.peer_fixture import (
    Unhandled,
    Wait,
    Waited,
    ask,
    outcome,
    run_peers,
)
from direct_fakes.peer_streams import address_of
from hypothesis import given, settings
from hypothesis import strategies as st

from cowslipfork_direct.peers import (
    PeerLost,
    PeerRefused,
    PeerReply,
    PeerRequest,
    RefusalReason,
)

MIB = 1_048_576

HELLO = b'{"node":"n3"}\n'

MALFORMED = [
    b'',
    b'x',
    b'{}',
    b'null',
    b'[]',
    b'["request"]',
    b'["request",1,"Wait"]',
    b'["request","1","Wait",{}]',
    b'["reply",1,{}]',
    b'["leaving"]',
    b'["ping"',
    b'\xff\xfe',
    b'["request",1,"\xff",{}]',
    b'["request",1,"Wait",' + 100_000 * b'[',
]


class Other(PeerReply, frozen=True):
    number: int


class Fail(PeerRequest, frozen=True):
    pass


async def send_raw(network, content):
    """Sends bytes on a link of its own; returns what the server sends."""
    reader, writer = await network.dialer('n3')(address_of('n2'))
    writer.write(HELLO + content)
    await asyncio.sleep(1)
    writer.close()
    return await reader.read()


async def check_other_link(client, request):
    """Checks that a link, with a request under way, is unharmed."""
    assert (await request).text == 'running'
    assert (await ask(client, text='next')).text == 'next'
    assert client.counts.lost == 0


def lines_of(received):
    return [json.loads(line) for line in received.splitlines()]


@pytest.mark.parametrize('line', MALFORMED)
def test_a_malformed_line_ends_its_link_only(line, caplog):
    """Guards against one node's fault that cuts the others off."""

    async def main(network, client, server):
        running = asyncio.create_task(ask(client, 2, 'running'))
        await send_raw(network, line + b'\n["request",1,"Wait",{}]\n')
        await check_other_link(client, running)
        return server.counts.malformed, server.open_links

    assert run_peers(main) == (1, 1)
    (logged,) = [
        record
        for record in caplog.records
        if record.getMessage() == 'peer_line_malformed'
    ]
    assert logged.node == 'n3'


@settings(max_examples=100, deadline=None)
@given(st.lists(st.binary(max_size=60) | st.sampled_from(MALFORMED[:-1])))
def test_no_bytes_harm_other_links(lines):
    """Guards against an exception that no rule foresees."""

    async def main(network, client, _server):
        running = asyncio.create_task(ask(client, 2, 'running'))
        await send_raw(network, b'\n'.join(lines))
        await check_other_link(client, running)

    run_peers(main)


@settings(max_examples=100, deadline=None)
@given(st.binary(max_size=60))
def test_no_bytes_of_a_server_harm_the_client(content):
    """Guards against a request that never ends or fails without a type."""

    async def main(network, client, _server):
        async def serve(reader, writer):
            await reader.readline()
            writer.write(b'{"node":"n3"}\n')
            await reader.readline()
            writer.write(content + b'\n')
            await asyncio.sleep(0.1)
            writer.close()

        network.listen('n3', serve)
        error = await outcome(ask(client, node='n3', timeout=2))
        return error, (await ask(client, text='next')).text

    error, text = run_peers(main)
    assert isinstance(error, PeerLost)
    assert text == 'next'


@pytest.mark.parametrize('hello', [b'{}\n', b'{"node":1}\n', b'[]\n'])
def test_a_malformed_hello_ends_the_connection(hello):
    """Guards against a link of a node without a name."""

    async def main(network, _client, server):
        reader, writer = await network.dialer('n3')(address_of('n2'))
        writer.write(hello)
        received = await reader.read()
        return received, server.open_links

    assert run_peers(main) == (b'', 0)


def test_another_node_at_the_address_is_not_asked():
    """Guards against messages to a node that has taken the address over."""

    async def main(network, _client, _server):
        client = network.client('n1', lambda _: address_of('n2'))
        return await outcome(ask(client, node='n3'))

    error = run_peers(main)
    assert not error.may_have_run


def test_an_endless_line_ends_its_link():
    """Guards against memory that a node fills without a line feed."""

    async def main(network, client, server):
        running = asyncio.create_task(ask(client, 2, 'running'))
        await send_raw(network, 5 * MIB * b' ')
        await check_other_link(client, running)
        return server.counts.malformed

    assert run_peers(main) == 1


def test_a_line_of_two_mib_is_received():
    """Guards against a limit below the largest statement."""

    async def main(_network, client, _server):
        return (await ask(client, text=2 * MIB * 'x')).text

    assert run_peers(main) == 2 * MIB * 'x'


def test_a_message_that_is_too_long_is_not_sent():
    """Guards against a long message that ends the link of all requests."""

    async def main(_network, client, _server):
        error = await outcome(ask(client, text=5 * MIB * 'x'))
        assert client.counts.lost == 0
        return error

    error = run_peers(main)
    assert error.reason == RefusalReason.REQUEST_TOO_LONG
    assert not error.may_have_run


def test_a_reply_that_is_too_long_is_refused():
    """Guards against a long reply that ends the link of all requests."""

    async def main(_network, client, server):
        async def reply_long(_message, _session):
            return Waited(5 * MIB * 'x')

        server.handle(Fail, reply_long)
        request = client.request('n2', Fail(), Waited, 1)
        return await outcome(request), client.counts.lost

    error, lost = run_peers(main)
    assert (error.reason, lost) == (RefusalReason.REPLY_TOO_LONG, 0)
    assert error.may_have_run


def test_a_message_that_no_server_handles_is_refused():
    """Guards against a link lost to a node of an older version."""

    async def main(_network, client, _server):
        error = await outcome(client.request('n2', Unhandled(), Waited, 1))
        return error, (await ask(client, text='next')).text

    error, text = run_peers(main)
    assert isinstance(error, PeerRefused)
    assert error.reason == RefusalReason.UNKNOWN_MESSAGE
    assert not error.may_have_run
    assert text == 'next'


def test_a_message_of_the_wrong_type_is_refused():
    """Guards against a link lost to a node with other fields."""

    async def main(network, _client, _server):
        content = b'["request",7,"Wait",{"seconds":"x"}]\n["ping"]\n'
        return lines_of(await send_raw(network, content))

    hello, refused, pong = run_peers(main)
    assert hello == {'node': 'n2', 'leaving': False}
    assert refused[:3] == ['refused', 7, 'malformed_message']
    assert pong == ['pong']


def test_a_reply_of_the_wrong_type_is_an_error_of_its_request():
    """Guards against a link lost to a node with other fields."""

    async def main(_network, client, _server):
        error = await outcome(client.request('n2', Wait(), Other, 1))
        return error, (await ask(client, text='next')).text

    error, text = run_peers(main)
    assert error.reason == RefusalReason.MALFORMED_REPLY
    assert error.may_have_run
    assert text == 'next'


def test_an_exception_of_a_handler_is_logged_and_answered(caplog):
    """Guards against a request without an answer, and a silent fault."""

    async def main(_network, client, server):
        async def fail(_message, _session):
            raise KeyError('secret')

        server.handle(Fail, fail)
        error = await outcome(client.request('n2', Fail(), Waited, 1))
        return error, (await ask(client, text='next')).text

    error, text = run_peers(main)
    assert error.reason == RefusalReason.HANDLER_FAILED
    assert error.may_have_run
    assert 'secret' not in str(error)
    assert text == 'next'
    assert 'peer_request_failed' in [
        record.getMessage() for record in caplog.records
    ]


def test_a_second_handler_of_a_message_is_an_error():
    """Guards against two parts whose messages have the same name."""

    async def main(_network, _client, server):
        async def handle(_message, _session):
            return Waited('')

        with pytest.raises(ValueError, match='Wait'):
            server.handle(Wait, handle)

    run_peers(main)
