"""A value of the store that is not what its key promises."""

from __future__ import annotations

from cowslipfork.errors import CowslipforkError


class RecordUnreadable(CowslipforkError):
    """A value of the store or of a peer is no record of its key."""

    def __init__(self, key: str, cause: str) -> None:
        """Remembers the key.

        Args:
            key: key in the store.
            cause: what is wrong.
        """
        super().__init__(f'record {key} is unreadable: {cause}')
        self.key = key
        self.cause = cause
