"""What a step of the demo checks."""

from __future__ import annotations

from cowslipfork.errors import CowslipforkError


class Unexpected(CowslipforkError):
    """A step saw something else than it should."""

    def __init__(self, seen: object, wanted: object) -> None:
        """Remembers both.

        Args:
            seen: what the step saw.
            wanted: what it should have seen.
        """
        super().__init__(f'saw {seen!r}, wanted {wanted!r}')


def expect(seen: object, wanted: object) -> None:
    """Checks what a step saw.

    Args:
        seen: what it saw.
        wanted: what it should have seen.

    Raises:
        Unexpected: they differ.
    """
    if seen != wanted:
        raise Unexpected(seen, wanted)
