"""Ports for processes that start later."""

from __future__ import annotations

from pathlib import Path

from cowslipfork_lab.cluster.ports import free_ports


def test_ports_differ_and_no_outgoing_connection_takes_them():
    ports = free_ports(50)
    assert len(set(ports)) == 50
    limits = Path('/proc/sys/net/ipv4/ip_local_port_range').read_text()
    assert max(ports) < int(limits.split()[0])
