"""Carrying of groups: every decision about a group's statements."""

from cowslipfork_proxy.carrier.group_carrier import GroupCarrier

__all__ = ('GroupCarrier',)
