"""Acceptance of changed configurations, and their audit trail."""

from cowslipfork.changes.accept import ConfigurationHistory
from cowslipfork.changes.audit import AuditPage, AuditQuery, query_audit
from cowslipfork.changes.change import (
    Accepted,
    Change,
    ChangeId,
    Conflict,
    Unavailable,
    new_change_id,
)

__all__ = (
    'Accepted',
    'AuditPage',
    'AuditQuery',
    'Change',
    'ChangeId',
    'ConfigurationHistory',
    'Conflict',
    'Unavailable',
    'new_change_id',
    'query_audit',
)
