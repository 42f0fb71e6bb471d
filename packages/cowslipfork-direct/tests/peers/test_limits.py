"""Bounds of what one link may take of a server."""

import asyncio

from direct_fakes.peer_fixture import Wait, ask, outcome, run_peers
from direct_fakes.peer_streams import address_of

from cowslipfork_direct.peers import (
    Acknowledged,
    PeerNotReached,
    PeerRequest,
    client_link,
    served_link,
)


class Count(PeerRequest, frozen=True):
    pass


def test_requests_beyond_the_bound_wait_and_the_link_stays(monkeypatch):
    """Guards against memory without bound, and against pings not read."""
    monkeypatch.setattr(served_link, 'MAX_RUNNING', 3)

    async def main(_network, client, server):
        running = []
        most = []

        async def handle(_message, _session):
            running.append(None)
            most.append(len(running))
            await asyncio.sleep(1)
            running.pop()
            return Acknowledged()

        server.handle(Count, handle)
        await asyncio.gather(
            *(
                client.request('n2', Count(), Acknowledged, 10)
                for _ in range(10)
            )
        )
        return max(most), len(most), client.counts.lost

    assert run_peers(main) == (3, 10, 0)


def test_a_full_link_does_not_delay_another_one(monkeypatch):
    """Guards against a bound that all nodes share."""
    monkeypatch.setattr(served_link, 'MAX_RUNNING', 3)

    async def main(network, client, _server):
        waiting = [asyncio.create_task(ask(client, 2)) for _ in range(5)]
        await asyncio.sleep(0.1)
        other = network.client('n3')
        reply = await ask(other, text='other', timeout=0.1)
        other.close()
        await asyncio.gather(*waiting)
        return reply.text

    assert run_peers(main) == 'other'


def test_a_server_does_not_read_on_while_replies_are_not_received(monkeypatch):
    """Guards against replies that add up for a node that reads nothing."""
    monkeypatch.setattr(served_link, 'MAX_UNSENT', 10_000)

    async def main(network, client, server):
        await ask(client)
        network.blocked.add(('n2', 'n1'))
        for _ in range(100):
            request = asyncio.create_task(ask(client, text=1000 * 'x'))
            request.add_done_callback(lambda task: task.exception())
            await asyncio.sleep(0.001)
        return server.counts.requests

    assert run_peers(main) < 30


def test_a_notification_is_sent_behind_requests_that_wait(monkeypatch):
    """Guards against a rollback that never reaches its carrier."""
    monkeypatch.setattr(client_link, 'MAX_UNSENT', 1000)

    async def main(network, client, server):
        notified = asyncio.Event()

        async def handle(_message, _session):
            notified.set()
            return Acknowledged()

        server.handle(Count, handle)
        link = client.reserve('n2')
        await ask(link)
        network.blocked.add(('n1', 'n2'))
        large = asyncio.create_task(ask(link, text=2000 * 'x'))
        await asyncio.sleep(0.01)
        refused = await outcome(ask(link))
        link.notify(Count())
        link.release()
        await asyncio.sleep(0.1)
        network.blocked.clear()
        await asyncio.wait_for(notified.wait(), 5)
        await large
        return refused

    assert isinstance(run_peers(main), PeerNotReached)


def test_a_long_line_that_arrives_slowly_is_confirmed():
    """Guards against a link lost because a ping waits behind a long line."""

    async def main(network, _client, _server):
        reader, writer = await network.dialer('n3')(address_of('n2'))
        writer.write(b'{"node":"n3"}\n["request",1,"Wait",{"text":"')
        await reader.readline()
        for _ in range(10):
            await asyncio.sleep(0.2)
            writer.write(1000 * b'x')
            line = await reader.readline()
            assert line == b'["pong"]\n'
        writer.write(b'"}]\n')
        line = await reader.readline()
        writer.close()
        return line.startswith(b'["reply",1,{"text":"xxx')

    assert run_peers(main)


def test_handlers_receive_the_message_and_the_node():
    """Guards against sessions of one node mixed up with another's."""

    async def main(network, client, server):
        nodes = []

        async def handle(_message, session):
            nodes.append(session.node)
            return Acknowledged()

        server.handle(Count, handle)
        other = network.client('n3')
        for each in (client, other, client):
            await each.request('n2', Count(), Acknowledged, 1)
        other.close()
        assert Wait.__name__ not in nodes
        return nodes

    assert run_peers(main) == ['n1', 'n3', 'n1']
