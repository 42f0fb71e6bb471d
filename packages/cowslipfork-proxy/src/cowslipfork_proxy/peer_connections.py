"""Connections of a node to other nodes, opened when they are first used."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

import grpc

from cowslipfork.groups import ProbeResult
from cowslipfork.ids import EndpointId, Term, VmId
from cowslipfork.requests import RequestHandler
from cowslipfork.wire import admin_pb2_grpc
from cowslipfork_proxy.applied_state import AppliedState
from cowslipfork_proxy.forwarding import CarrierLink
from cowslipfork_proxy.probing import MOST_ASKED, ask_nodes


class PeerConnections:
    """Channels and carrier links to other nodes, by VM and address."""

    def __init__(
        self,
        vm: VmId,
        applied_state: AppliedState,
        open_channel: Callable[[str], grpc.aio.Channel],
    ) -> None:
        """Opens nothing yet.

        Args:
            vm: this VM.
            applied_state: tells the addresses of others.
            open_channel: opens a channel to ``host:port``.
        """
        self._vm = vm
        self._applied_state = applied_state
        self._open_channel = open_channel
        self._channels: dict[str, grpc.aio.Channel] = {}
        self._links: dict[str, CarrierLink] = {}
        applied_state.add_listener(self._drop_strangers)
        self._closing: set[asyncio.Task[None]] = set()

    def runner_for(self, vm: VmId) -> RequestHandler:
        """Gives what runs a statement at another VM.

        Args:
            vm: the VM; known to the applied state.

        Returns:
            The runner of the link to it.
        """
        address = self._applied_state.known_vms[vm].address
        link = self._links.get(address)
        if link is None:
            link = CarrierLink(self._open_channel(address))
            self._links[address] = link
        return link.run

    async def ask_peers(
        self,
        endpoint: EndpointId,
        term: Term,
    ) -> Sequence[ProbeResult]:
        """Asks other nodes about a primary, other failure domains first.

        Args:
            endpoint: the primary.
            term: the term that it should lead.

        Returns:
            One piece of evidence for each node asked.
        """
        known_vms = self._applied_state.known_vms
        own = known_vms.get(self._vm)
        domain = own.location.failure_domain if own else None
        others = sorted(
            (other for vm, other in known_vms.items() if vm != self._vm),
            key=lambda other: other.location.failure_domain == domain,
        )
        return await ask_nodes(
            [self._channel(other.address) for other in others[:MOST_ASKED]],
            endpoint,
            term,
            self._applied_state.configuration.failover.probe_timeout,
        )

    def admin_stub_for(self, vm: VmId) -> admin_pb2_grpc.AdminStub | None:
        """Reaches the administration API of another VM.

        Args:
            vm: the VM.

        Returns:
            Its stub; None if no such VM is known.
        """
        known_vm = self._applied_state.known_vms.get(vm)
        if known_vm is None:
            return None
        return admin_pb2_grpc.AdminStub(self._channel(known_vm.address))

    async def close(self) -> None:
        """Closes everything; statements on links end."""
        await asyncio.gather(*(link.close() for link in self._links.values()))
        channels = self._channels.values()
        await asyncio.gather(*(channel.close() for channel in channels))

    def _channel(self, address: str) -> grpc.aio.Channel:
        channel = self._channels.get(address)
        if channel is None:
            channel = self._open_channel(address)
            self._channels[address] = channel
        return channel

    def _drop_strangers(self) -> None:
        """Closes links to addresses where no VM is known any more."""
        known = {
            known_vm.address
            for known_vm in self._applied_state.known_vms.values()
        }
        for address in self._links.keys() - known:
            self._close_later(self._links.pop(address).close())
        for strange in self._channels.keys() - known:
            self._close_later(self._channels.pop(strange).close(None))

    def _close_later(self, closing: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(closing)
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)
