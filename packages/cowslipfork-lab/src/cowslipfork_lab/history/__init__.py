"""Histories of requests and the checker of the promises to callers."""

from __future__ import annotations

from cowslipfork_lab.history.attempt import (
    Action,
    Attempt,
    Ending,
    read_history,
    write_history,
)
from cowslipfork_lab.history.jobs import check_jobs
from cowslipfork_lab.history.registers import check_registers
from cowslipfork_lab.history.violations import Rule, Violation

__all__ = [
    'Action',
    'Attempt',
    'Ending',
    'Rule',
    'Violation',
    'check_jobs',
    'check_registers',
    'read_history',
    'write_history',
]
