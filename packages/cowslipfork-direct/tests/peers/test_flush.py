"""Replies that wait to be sent when a node ends."""

import pytest
from virtual_time import now, run_virtual

from cowslipfork.ids import VmId
from cowslipfork_direct.peers import PeerServer
from cowslipfork_direct.peers.server import FLUSH_TIMEOUT


class SlowLink:
    """A link whose other end receives everything at a loop time."""

    def __init__(self, received_at):
        self._received_at = received_at

    @property
    def unsent_bytes(self):
        return 0 if now() >= self._received_at else 1


@pytest.mark.parametrize(
    ('received_at', 'waited'),
    [(0, 0), (FLUSH_TIMEOUT / 2, FLUSH_TIMEOUT / 2), (99, FLUSH_TIMEOUT)],
)
def test_a_node_that_ends_waits_shortly_for_its_replies(received_at, waited):
    """Guards against a reply of a statement that ran and is never sent."""

    async def main():
        server = PeerServer(VmId('n1'))
        server._links |= {SlowLink(0), SlowLink(received_at)}
        await server.flush()
        return now()

    assert run_virtual(main()) == pytest.approx(waited, abs=0.03)
