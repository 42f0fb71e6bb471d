"""Driver that runs the platform's stand-ins and nodes as processes."""

from __future__ import annotations

from cowslipfork_lab.cluster.cluster import Cluster
from cowslipfork_lab.cluster.plan import Plan, PlanFileMissing
from cowslipfork_lab.cluster.platform import PlatformList
from cowslipfork_lab.cluster.process import ChildProcess, ProcessEnded

__all__ = [
    'ChildProcess',
    'Cluster',
    'Plan',
    'PlanFileMissing',
    'PlatformList',
    'ProcessEnded',
]
