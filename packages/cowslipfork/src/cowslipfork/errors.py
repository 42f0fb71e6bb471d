"""Base of every failure that cowslipfork raises."""

from __future__ import annotations


class CowslipforkError(Exception):
    """A failure with a type of its own and a message for a person."""
