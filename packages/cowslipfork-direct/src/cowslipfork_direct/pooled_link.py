"""A pooled connection with its session values and prepared statements."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from cowslipfork.ids import WorkspaceName
from cowslipfork_direct.commands import (
    Command,
    Prepare,
    Reset,
    SetValue,
)
from cowslipfork_direct.link import Link
from cowslipfork_direct.statements import Prepared, StatementName


class PooledLink:
    """A link and the session state that the endpoint keeps for it.

    Attributes:
        link: the connection.
        used_at: boot time of its last answer.
        retired: whether it must be closed instead of being used again.
    """

    def __init__(
        self,
        link: Link,
        opened_at: float,
        workspace: WorkspaceName | None = None,
    ) -> None:
        """Wraps a new connection without session state.

        Args:
            link: the connection.
            opened_at: boot time at which it was opened.
            workspace: workspace for which it was opened; None without
                workspaces.
        """
        self.link = link
        self.used_at = opened_at
        self.retired = False
        self._workspace = workspace
        self._values: dict[str, str] = {}
        self._prepared: dict[Prepared, StatementName] = {}

    @property
    def workspace(self) -> WorkspaceName | None:
        """Workspace that it serves for its whole lifetime."""
        return self._workspace

    def has_values(self, values: Mapping[str, str]) -> bool:
        """Returns whether exactly these session values are set."""
        return self._values == values

    def set_up(
        self,
        values: Mapping[str, str],
        prepared: Prepared | None,
    ) -> Iterator[Command]:
        """Returns the commands that set up a caller's session state.

        The state counts as set from now on: a connection on which one of the
        commands failed must be closed.

        Args:
            values: the caller's session values.
            prepared: statement to prepare if it is not prepared yet.

        Yields:
            Commands; none if everything is set already.
        """
        if not self._values.keys() <= values.keys():
            self._values.clear()
            self._prepared.clear()
            yield Reset()
        for name, setting in values.items():
            if self._values.get(name) != setting:
                self._values[name] = setting
                yield SetValue(name, setting)
        if prepared is not None and prepared not in self._prepared:
            # Callers' names collide, so each template gets a separate name.
            fresh_name = StatementName(f'p{len(self._prepared) + 1}')
            self._prepared[prepared] = fresh_name
            yield Prepare(fresh_name, prepared)

    def prepared_name(self, prepared: Prepared) -> StatementName:
        """Returns the name under which a statement was prepared.

        Raises:
            KeyError: the statement was not prepared.
        """
        return self._prepared[prepared]

    def forget_prepared(self) -> None:
        """Records that the endpoint has lost all prepared statements."""
        self._prepared.clear()
