"""Stand-in of the platform's store: etcd v3 in memory, with faults."""

from __future__ import annotations

from cowslipfork_lab.store.server import StoreServer, run_store

__all__ = ['StoreServer', 'run_store']
