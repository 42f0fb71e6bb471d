"""Changes of configuration by an operator, through the administration API."""

from __future__ import annotations

import asyncio
from typing import Any, Final

import grpc

from cowslipfork.changes import new_change_id
from cowslipfork.errors import CowslipforkError
from cowslipfork.ids import Revision
from cowslipfork.wire import admin_pb2, admin_pb2_grpc
from cowslipfork_lab.cluster import Cluster
from cowslipfork_lab.cluster.plan import LOOPBACK
from cowslipfork_lab.demo.expectations import expect

#: Credential of the sample operator.
_CREDENTIAL: Final = (('authorization', 'Bearer ada-sample'),)

#: Seconds between two looks at a node.
_LOOK_PAUSE: Final = 0.02


class NotAccepted(CowslipforkError):
    """A change was not accepted."""

    def __init__(self, reply: str) -> None:
        """Remembers the reply.

        Args:
            reply: what the API answered.
        """
        super().__init__(f'change not accepted: {reply}')
        self.reply = reply


async def accept_change(
    cluster: Cluster,
    old: str,
    new: str,
    reason: str,
) -> int:
    """Replaces a text of the base file.

    Args:
        cluster: where.
        old: text of the base file.
        new: its replacement.
        reason: for the audit trail.

    Returns:
        The accepted revision.
    """
    async with _channel(cluster, 0) as channel:
        admin: Any = admin_pb2_grpc.AdminStub(channel)
        current = await admin.Current(
            admin_pb2.CurrentRequest(),
            metadata=_CREDENTIAL,
        )
        expect(old in current.base, wanted=True)
        reply = await admin.Accept(
            admin_pb2.AcceptRequest(
                expected_revision=current.revision,
                base=current.base.replace(old, new),
                overlays=dict(current.overlays),
                reason=reason,
                change_id=new_change_id(Revision(current.revision)),
            ),
            metadata=_CREDENTIAL,
        )
    if not reply.accepted_revision:
        raise NotAccepted(str(reply))
    return int(reply.accepted_revision)


async def revisions_in_force(cluster: Cluster, revision: int) -> list[int]:
    """Waits until every node has a revision in force.

    Args:
        cluster: whose nodes.
        revision: the revision.

    Returns:
        The revision in force at each node.
    """
    return await asyncio.gather(
        *(
            _in_force(cluster, index, revision)
            for index, _ in enumerate(cluster.nodes)
        ),
    )


async def status_at(cluster: Cluster, index: int) -> admin_pb2.StatusReply:
    """Asks a node for its status.

    Args:
        cluster: whose node.
        index: number of the node.

    Returns:
        Its answer.
    """
    async with _channel(cluster, index) as channel:
        admin: Any = admin_pb2_grpc.AdminStub(channel)
        return await admin.Status(
            admin_pb2.StatusRequest(),
            metadata=_CREDENTIAL,
        )


async def _in_force(cluster: Cluster, index: int, revision: int) -> int:
    async with _channel(cluster, index) as channel:
        admin: Any = admin_pb2_grpc.AdminStub(channel)
        while True:
            status = await admin.Status(
                admin_pb2.StatusRequest(),
                metadata=_CREDENTIAL,
            )
            if status.revision >= revision:
                return int(status.revision)
            await asyncio.sleep(_LOOK_PAUSE)


def _channel(cluster: Cluster, index: int) -> grpc.aio.Channel:
    port = cluster.nodes[index].ports.peer_port
    return grpc.aio.insecure_channel(f'{LOOPBACK}:{port}')
