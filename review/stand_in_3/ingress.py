"""The platform's ingress: it forwards new connections to ready nodes."""

from __future__ import annotations

import asyncio
import random

#: Seconds between two readiness checks of a node.
CHECK_INTERVAL = 1.0

#: Checks in a row without a 200 after which a node gets no new connections.
MISSES = 2


class Ingress:
    """Chooses nodes as the page "Ingress" says."""

    def __init__(self, deployment, seed=3):
        self._deployment = deployment
        self._misses = dict.fromkeys(deployment.nodes, 0)
        self._random = random.Random(seed)

    def start(self):
        """Starts to check all nodes; returns the tasks."""
        return [
            asyncio.create_task(self._check(node))
            for node in self._deployment.nodes.values()
        ]

    def choose(self, zone):
        """Returns the node for a new connection of a client of a zone.

        If fewer than half of a zone's nodes are in rotation, all of them are
        used; if none is, those of the other zones that are.
        """
        nodes = self._deployment.nodes.values()
        ours = [node for node in nodes if node.zone == zone]
        ready = [node for node in ours if self._in_rotation(node)]
        if not ready:
            ready = [node for node in nodes if self._in_rotation(node)]
        elif 2 * len(ready) < len(ours):
            ready = ours
        return self._random.choice(ready or ours)

    def _in_rotation(self, node):
        return self._misses[node.name] < MISSES

    async def _check(self, node):
        while True:
            ready = await node.ready()
            before = self._in_rotation(node)
            self._misses[node.name] = 0 if ready else (
                self._misses[node.name] + 1)
            if before is not self._in_rotation(node):
                self._deployment.record(
                    f'{node.name} is {"out of" if before else "in"} rotation')
            await asyncio.sleep(CHECK_INTERVAL)
