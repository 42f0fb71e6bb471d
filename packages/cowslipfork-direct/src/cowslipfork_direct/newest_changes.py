"""Order of the changes of a record that a cache is told of in several ways.

A node learns of its own write by the answer to it, and of every write by its
watch. The answer may arrive after the watch has delivered a later change.
Unlike ``KnownKeys`` of the watch, this remembers removals: an older change of a
removed key is no new one.
"""

from __future__ import annotations

from cowslipfork.store import Event


class NewestChanges:
    """Tells changes that are older than one that was admitted before."""

    def __init__(self) -> None:
        """Starts without changes."""
        self._revisions: dict[str, int] = {}

    def admit(self, event: Event) -> bool:
        """Returns whether no later change of the key was admitted before.

        Args:
            event: the change; a removal counts as one.
        """
        if event.revision < self._revisions.get(event.key, 0):
            return False
        self._revisions[event.key] = event.revision
        return True

    def clear(self) -> None:
        """Forgets all revisions, which the store may give out again."""
        self._revisions.clear()
