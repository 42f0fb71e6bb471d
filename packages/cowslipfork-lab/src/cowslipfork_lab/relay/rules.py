"""What a relay does to the bytes from one process to another."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import Enum, unique

#: Stands for any process in a rule.
ANY = '*'


@unique
class TrafficPolicy(Enum):
    """Whether bytes pass."""

    OPEN = 'open'
    SILENT = 'silent'
    REFUSED = 'refused'


@dataclass(frozen=True, slots=True)
class Rule:
    """Treatment of one direction between two processes.

    Attributes:
        delay: seconds one way.
        policy: whether bytes pass.
    """

    delay: float = 0
    policy: TrafficPolicy = TrafficPolicy.OPEN


_OPEN = Rule()


class Rules:
    """Rules by (source, destination); the most specific one holds."""

    def __init__(self) -> None:
        """Lets everything pass at once."""
        self._rules: dict[tuple[str, str], Rule] = {}
        self._changed = asyncio.Event()

    def set(self, source: str, destination: str, rule: Rule) -> None:
        """Sets the rule of one direction; ``ANY`` is a wildcard."""
        self._rules[source, destination] = rule
        self._changed.set()
        self._changed = asyncio.Event()

    def find(self, source: str, destination: str) -> Rule:
        """Gives the rule of one direction."""
        patterns = (
            (source, destination),
            (source, ANY),
            (ANY, destination),
            (ANY, ANY),
        )
        found = (self._rules.get(pattern) for pattern in patterns)
        return next((rule for rule in found if rule), _OPEN)

    async def wait_while_silent(self, source: str, destination: str) -> Rule:
        """Waits while a direction is silent.

        Args:
            source: process that sends.
            destination: process that receives.

        Returns:
            The rule that then holds.
        """
        while True:
            rule = self.find(source, destination)
            if rule.policy != TrafficPolicy.SILENT:
                return rule
            await self._changed.wait()
