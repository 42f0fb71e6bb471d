"""Describes a node and what it knows of others, for operators."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping

from cowslipfork.groups import (
    Condition,
    GroupRecord,
    Tracker,
    write_refusal,
)
from cowslipfork.ids import EndpointId, GroupName, VmId
from cowslipfork.membership import Members, MemberState, Report
from cowslipfork.wire import admin_pb2
from cowslipfork_proxy.carrier import GroupCarrier

#: Age reported for an endpoint about which nothing is proved.
_UNKNOWN_AGE = -1


def group_statuses(
    records: Iterable[GroupRecord],
    carried: Mapping[GroupName, GroupCarrier],
    carrier_of: Callable[[GroupName], VmId | None],
) -> Iterator[admin_pb2.GroupStatus]:
    """Describes groups; endpoints only of those carried here.

    Args:
        records: record of each group.
        carried: carriers at this node.
        carrier_of: gives the VM that carries a group.

    Yields:
        A description of each group.
    """
    for record in records:
        carrier = carried.get(record.group)
        yield admin_pb2.GroupStatus(
            group=record.group,
            term=record.term,
            primary=record.primary,
            carrier=carrier_of(record.group) or '',
            endpoints=(
                [
                    endpoint_status(carrier.tracker, endpoint)
                    for endpoint in carrier.tracker.controls
                ]
                if carrier
                else []
            ),
        )


def endpoint_status(
    tracker: Tracker,
    endpoint: EndpointId,
) -> admin_pb2.EndpointStatus:
    """Describes an endpoint as it was last heard.

    Args:
        tracker: samples of its group.
        endpoint: the endpoint.

    Returns:
        Its description.
    """
    status = tracker.status(endpoint)
    if status is None:
        return admin_pb2.EndpointStatus(
            endpoint=endpoint,
            state='never heard',
            age_seconds=_UNKNOWN_AGE,
        )
    age = tracker.age(endpoint)
    silence = tracker.silent_seconds(endpoint)
    state = f'silent for {silence:.1f} s' if silence else 'live'
    return admin_pb2.EndpointStatus(
        endpoint=endpoint,
        role=status.role.value,
        term=status.term,
        position=status.mark.position,
        age_seconds=_UNKNOWN_AGE if age is None else age,
        state='leaving' if status.leaving else state,
    )


def node_statuses(members: Members) -> Iterator[admin_pb2.NodeStatus]:
    """Describes every VM of the fleet, this one first.

    Args:
        members: VMs as this node sees them.

    Yields:
        A description of each VM. Revisions of VMs without a link to this one
        are this node's own, unless a neighbour of theirs told otherwise.
    """
    revision = members.own.revision
    behind = members.laggards(revision)
    yield _node_status(members.own, members.own.state, revision)
    for vm, member in members.others.items():
        known = member.report.revision if vm in behind else revision
        yield _node_status(member.report, member.state, known)


def _node_status(
    report: Report,
    state: MemberState,
    revision: int,
) -> admin_pb2.NodeStatus:
    return admin_pb2.NodeStatus(
        vm=report.vm,
        state=state.value,
        revision=revision,
        failure_domain=report.location.failure_domain,
        relay=report.relay,
    )


def impediments(
    carried: Mapping[GroupName, GroupCarrier],
    *,
    store_reachable: bool,
    has_majority: bool,
) -> Iterator[str]:
    """Says what cannot go on now.

    Args:
        carried: carriers at this node.
        store_reachable: whether the store answered a relay lately.
        has_majority: whether the node hears a majority of its region.

    Yields:
        A sentence for each thing that cannot go on.
    """
    if not store_reachable:
        yield (
            'the store does not answer: no change can be accepted and no '
            'primary can be replaced'
        )
    if not has_majority:
        yield 'this node hears no majority of its region: it carries no group'
    for name, carrier in carried.items():
        condition = carrier.health.condition
        refused = write_refusal(condition)
        if refused is not None:
            yield f'group {name}: writes are not run: {refused.detail}'
        elif condition is not Condition.SERVING:
            yield f'group {name}: {condition.value}'
