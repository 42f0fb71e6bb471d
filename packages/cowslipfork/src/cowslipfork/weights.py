"""Pseudo-random weights with which VMs share things out without a word."""

from __future__ import annotations

import xxhash

from cowslipfork.ids import VmId


def rendezvous_weight(key: str, vm: VmId) -> int:
    """Computes the pseudo-random weight of a VM for a key.

    Args:
        key: name of a group, or of another thing that VMs share out.
        vm: name of the VM.

    Returns:
        64 bits that depend on the two names only.
    """
    return xxhash.xxh3_64_intdigest(f'{key}\0{vm}'.encode())
