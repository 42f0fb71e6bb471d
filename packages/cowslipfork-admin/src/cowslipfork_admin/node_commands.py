"""Commands about VMs: status and drain."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Annotated

import typer

from cowslipfork.wire import admin_pb2
from cowslipfork_admin.changes import lacking


def status(context: typer.Context) -> None:
    """Shows VMs, groups, endpoints and what cannot go on now."""
    reply = context.obj.call('Status', admin_pb2.StatusRequest())
    for line in _lines(reply):
        typer.echo(line)


def drain(
    context: typer.Context,
    vm: Annotated[str, typer.Argument(help='Empty: the node asked.')] = '',
) -> None:
    """Takes a VM out of service without cutting a request."""
    context.obj.call('Drain', admin_pb2.DrainRequest(vm=vm))
    typer.echo(f'drain of {vm or "the node"} has begun')


def _lines(reply: admin_pb2.StatusReply) -> Iterator[str]:
    newest = max([reply.revision, *(node.revision for node in reply.nodes)])
    store = 'reachable' if reply.store_reachable else 'down'
    yield f'asked {reply.vm}: revision {newest}, store {store}'
    behind = lacking(reply.nodes, newest)
    if behind:
        yield f'lack revision {newest}: {", ".join(behind)}'
    yield from (f'cannot: {what}' for what in reply.cannot)
    yield from map(_node_line, reply.nodes)
    for group in reply.groups:
        yield (
            f'group {group.group}: term {group.term}, primary '
            f'{group.primary or "none"}, carrier {group.carrier or "none"}'
        )
        yield from map(_endpoint_line, group.endpoints)


def _node_line(node: admin_pb2.NodeStatus) -> str:
    relay = ', relay' if node.relay else ''
    return (
        f'vm {node.vm}: {node.state}, revision {node.revision}, '
        f'{node.failure_domain}, heard {node.heard_ms} ms ago{relay}'
    )


def _endpoint_line(endpoint: admin_pb2.EndpointStatus) -> str:
    known = endpoint.age_seconds >= 0
    age = f'{endpoint.age_seconds:.2f} s' if known else 'unknown'
    return (
        f'  endpoint {endpoint.endpoint}: {endpoint.state}, {endpoint.role}, '
        f'mark {endpoint.term}/{endpoint.position}, age {age}'
    )
