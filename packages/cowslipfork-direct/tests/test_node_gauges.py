"""Gauges that read the parts of a node."""

from direct_fakes.peers import FakeLink, Nodes, request
from direct_fakes.world import run

from cowslipfork_direct.forwarding.encoding import forwarded
from cowslipfork_direct.forwarding.messages import (
    EndTransaction,
    RunInTransaction,
)
from cowslipfork_direct.metrics import Metrics
from cowslipfork_direct.node_gauges import add_forwarding_gauges


def test_open_transactions_of_other_nodes_are_counted_until_they_end():
    """Guards against a stop whose cause for waiting isn't shown."""

    async def main():
        nodes = Nodes()
        host = nodes.carriers[0]
        metrics = Metrics()
        add_forwarding_gauges(metrics, host.service)
        session = FakeLink(nodes, 'n0', host.name).session
        texts = [metrics.text().decode()]
        for message in (
            RunInTransaction('t1', True, False, forwarded(request('WRITE a'))),
            EndTransaction('t1'),
        ):
            await host.server.handlers[type(message)](message, session)
            texts.append(metrics.text().decode())
        return texts

    line = 'cowslipfork_forwarded_open{{kind="transactions"}} {}.0'
    for text, count in zip(run(main()), (0, 1, 0), strict=True):
        assert line.format(count) in text
        assert 'cowslipfork_forwarded_open{kind="statements"} 0.0' in text
