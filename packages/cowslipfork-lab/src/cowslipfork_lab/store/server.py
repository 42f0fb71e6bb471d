"""gRPC server of the store."""

from __future__ import annotations

import asyncio
import logging

import grpc
from aetcd.rpc import rpc_pb2_grpc

from cowslipfork_lab.store.faults import StoreFaults
from cowslipfork_lab.store.key_value import KeyValueService
from cowslipfork_lab.store.keys import KeySpace
from cowslipfork_lab.store.leases import LeaseService
from cowslipfork_lab.store.watches import WatchService

_log = logging.getLogger(__name__)

#: Shortest time between a client's pings, in milliseconds; etcd's own.
_MIN_PING_INTERVAL = 5000

_SERVER_OPTIONS = (
    ('grpc.http2.min_ping_interval_without_data_ms', _MIN_PING_INTERVAL),
)


class StoreServer:
    """A store that serves until it is closed."""

    def __init__(self, port: int = 0) -> None:
        """Prepares a store.

        Args:
            port: port on the loopback address; 0 lets the system choose.
        """
        self._port = port
        self._server: grpc.aio.Server | None = None
        self.faults = StoreFaults()
        self.keys = KeySpace()

    @property
    def port(self) -> int:
        """Port that it listens on."""
        return self._port

    async def start(self) -> None:
        """Begins to listen."""
        server = grpc.aio.server(options=_SERVER_OPTIONS)
        rpc_pb2_grpc.add_KVServicer_to_server(
            KeyValueService(self.keys, self.faults),
            server,
        )
        rpc_pb2_grpc.add_WatchServicer_to_server(
            WatchService(self.keys, self.faults),
            server,
        )
        rpc_pb2_grpc.add_LeaseServicer_to_server(
            LeaseService(self.keys, self.faults),
            server,
        )
        self._port = server.add_insecure_port(f'127.0.0.1:{self._port}')
        await server.start()
        self._server = server
        _log.info('event=store_started port=%d', self._port)

    async def close(self) -> None:
        """Stops listening and ends every call."""
        if self._server:
            await self._server.stop(grace=None)

    async def serve_forever(self) -> None:
        """Serves until cancelled."""
        try:
            await asyncio.Event().wait()
        finally:
            await self.close()


async def run_store(port: int) -> None:
    """Runs a store until it is cancelled.

    Args:
        port: port on the loopback address.
    """
    server = StoreServer(port)
    await server.start()
    await server.serve_forever()
