"""The operators' configuration: an INI base file and an overlay per site."""

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

__all__ = (
    'AgeRule',
    'Configuration',
    'Endpoint',
    'Failover',
    'FreshRule',
    'Group',
    'Kind',
    'Limits',
    'Operator',
    'ReadingRule',
    'RequestClass',
    'Role',
    'SessionRule',
    'Site',
    'Team',
)
