"""Configuration, group records and platform lists, in force everywhere."""

from cowslipfork.spread.changes import ChangeLog

__all__ = ('ChangeLog',)
