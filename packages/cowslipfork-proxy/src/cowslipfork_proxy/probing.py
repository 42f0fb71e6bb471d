"""Evidence about primaries, asked of other nodes."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Sequence
from types import MappingProxyType
from typing import Any, Final

import grpc

from cowslipfork.configuration import Configuration, Endpoint
from cowslipfork.groups import ProbeResult, probe_primary
from cowslipfork.ids import EndpointId, Term
from cowslipfork.wire import node_pb2, node_pb2_grpc
from cowslipfork_proxy.endpoints import Login, MysqlControl

#: Nodes asked about one primary; more add no certainty, only messages.
MOST_ASKED: Final = 4

#: Seconds that a node gets beyond its own probe.
_ALLOWANCE: Final = 0.1

_TO_WIRE: Final = MappingProxyType(
    {
        ProbeResult.REACHED: node_pb2.PROBE_RESULT_REACHED,
        ProbeResult.DEPOSED: node_pb2.PROBE_RESULT_DEPOSED,
        ProbeResult.SILENT: node_pb2.PROBE_RESULT_SILENT,
        ProbeResult.REFUSED: node_pb2.PROBE_RESULT_REFUSED,
    }
)
_FROM_WIRE: Final = MappingProxyType(
    {number: found for found, number in _TO_WIRE.items()},
)


async def probe(
    request: node_pb2.ProbeRequest,
    configuration: Configuration,
    login: Login,
) -> node_pb2.ProbeReply:
    """Examines a primary for another node, on a new connection.

    Args:
        request: which endpoint, in which term.
        configuration: describes the endpoint.
        login: user and password.

    Returns:
        What was found; unspecified for an endpoint unknown here.
    """
    endpoint = configuration.endpoints.get(EndpointId(request.endpoint))
    if endpoint is None:
        return node_pb2.ProbeReply()
    found = await _examined(endpoint, Term(request.term), configuration, login)
    return node_pb2.ProbeReply(result=_TO_WIRE[found])


async def _examined(
    endpoint: Endpoint,
    term: Term,
    configuration: Configuration,
    login: Login,
) -> ProbeResult:
    control = MysqlControl(endpoint, {}, login)
    try:
        return await probe_primary(
            control,
            term,
            configuration.failover.probe_timeout,
        )
    finally:
        control.close()


async def ask_nodes(
    channels: Iterable[grpc.aio.Channel],
    endpoint: EndpointId,
    term: Term,
    timeout: float,
) -> Sequence[ProbeResult]:
    """Asks other nodes to examine a primary.

    Args:
        channels: to the nodes asked.
        endpoint: the primary.
        term: the term that it should lead.
        timeout: seconds of the nodes' own probe.

    Returns:
        One piece of evidence for each node.
    """
    asked = (_ask(channel, endpoint, term, timeout) for channel in channels)
    return await asyncio.gather(*asked)


async def _ask(
    channel: grpc.aio.Channel,
    endpoint: EndpointId,
    term: Term,
    timeout: float,
) -> ProbeResult:
    stub: Any = node_pb2_grpc.MembershipStub(channel)
    request = node_pb2.ProbeRequest(endpoint=endpoint, term=term)
    try:
        reply = await stub.Probe(request, timeout=timeout + _ALLOWANCE)
    except grpc.aio.AioRpcError:
        return ProbeResult.UNKNOWN
    return _FROM_WIRE.get(reply.result, ProbeResult.UNKNOWN)
