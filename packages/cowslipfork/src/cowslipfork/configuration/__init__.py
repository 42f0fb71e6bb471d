"""The operators' configuration: an INI base file and an overlay per site."""

from cowslipfork.configuration.check import check_files
from cowslipfork.configuration.difference import (
    difference,
    files_of,
    redact,
)
from cowslipfork.configuration.direct import DirectSettings, direct_settings
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
from cowslipfork.configuration.reference import render_reference

__all__ = (
    'AgeRule',
    'BadValue',
    'Configuration',
    'DirectSettings',
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
    'check_files',
    'difference',
    'direct_settings',
    'files_of',
    'node_settings',
    'parse_configuration',
    'redact',
    'render_reference',
)
