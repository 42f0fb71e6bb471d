"""The operators' configuration: an INI base file and an overlay per site."""

from cowslipfork.configuration.accept import ChangeLog
from cowslipfork.configuration.audit import AuditPage, AuditQuery, query_audit
from cowslipfork.configuration.change import (
    Accepted,
    Change,
    ChangeId,
    Conflict,
    Unavailable,
    new_change_id,
)
from cowslipfork.configuration.check import check_files
from cowslipfork.configuration.difference import (
    difference,
    files_of,
    redact,
)
from cowslipfork.configuration.model import (
    AgeRule,
    Configuration,
    Endpoint,
    Failover,
    FreshRule,
    Group,
    Kind,
    Limits,
    Operator,
    ReadingRule,
    RequestClass,
    Role,
    SessionRule,
    Site,
    Team,
)
from cowslipfork.configuration.node import (
    LogFormat,
    NodeSettings,
    node_settings,
)
from cowslipfork.configuration.parser import parse_configuration
from cowslipfork.configuration.problems import (
    BadValue,
    Problem,
    ProblemKind,
    Problems,
)
from cowslipfork.configuration.reference import reference

__all__ = (
    'Accepted',
    'AgeRule',
    'AuditPage',
    'AuditQuery',
    'BadValue',
    'Change',
    'ChangeId',
    'ChangeLog',
    'Configuration',
    'Conflict',
    'Endpoint',
    'Failover',
    'FreshRule',
    'Group',
    'Kind',
    'Limits',
    'LogFormat',
    'NodeSettings',
    'Operator',
    'Problem',
    'ProblemKind',
    'Problems',
    'ReadingRule',
    'RequestClass',
    'Role',
    'SessionRule',
    'Site',
    'Team',
    'Unavailable',
    'check_files',
    'difference',
    'files_of',
    'new_change_id',
    'node_settings',
    'parse_configuration',
    'query_audit',
    'redact',
    'reference',
)
