"""Finds the workspace of a caller by the digest of its key.

Keys themselves are kept nowhere: the configuration and the sessions hold their
digests, so that a comparison reveals nothing about a key.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from hashlib import blake2b
from typing import Final

from expression import Error, Ok, Result

from cowslipfork.errors import CowslipforkError
from cowslipfork.ids import WorkspaceName
from cowslipfork.outcomes import NotRun, Reason
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.routes import (
    KeyDigest,
    Route,
    RoutingTable,
    Workspace,
)

log = logging.getLogger(__name__)

#: Bytes of a key's digest.
DIGEST_SIZE: Final = 32

#: Hexadecimal digits of a digest that are written to logs.
PREFIX_DIGITS: Final = 8

#: Milliseconds after which a caller should retry while the node may lack the
#: newest configuration.
NOT_CURRENT_RETRY_MS: Final = 500

#: Priority that counts for callers without a workspace: the most urgent one,
#: so that their route's priority decides.
DEFAULT_PRIORITY: Final = 0


class WorkspaceConflict(CowslipforkError):
    """Two workspaces of a configuration have the same name or key."""


@dataclass(frozen=True, slots=True)
class Revocation:
    """How a node withdraws keys while it can't read the store.

    Attributes:
        limit: seconds after which a withdrawn key must not be accepted.
        fail_closed: whether the node refuses all callers once it has had no
            answer of the store for longer than the limit.
    """

    limit: float = 5
    fail_closed: bool = False


class Workspaces:
    """Workspaces of the routing table in force, by the digests of keys."""

    def __init__(
        self,
        last_answer_at: Callable[[], float],
        revocation: Revocation,
    ) -> None:
        """Starts without workspaces: callers need no keys.

        Args:
            last_answer_at: returns the boot time of the store's last answer.
            revocation: what holds while the store does not answer.
        """
        self._last_answer_at = last_answer_at
        self._revocation = revocation
        self._by_name: Mapping[WorkspaceName, Workspace] | None = None
        self._by_digest: Mapping[KeyDigest, Workspace] = {}
        #: Workspaces that the last table removed.
        self._removed: frozenset[WorkspaceName] = frozenset()

    @property
    def _outdated(self) -> bool:
        """Whether a newer configuration may have withdrawn any key."""
        if not self._revocation.fail_closed:
            return False
        age = boot_time() - self._last_answer_at()
        return age > self._revocation.limit

    def adopt(self, table: RoutingTable) -> None:
        """Replaces the workspaces by those of a table that is now in force.

        Args:
            table: the routing table.
        """
        before = self._by_digest.keys()
        names_before = self._by_name
        self._by_name = table.workspaces
        names = (table.workspaces or {}).keys()
        self._removed = frozenset((names_before or {}).keys() - names)
        self._by_digest = {
            digest: workspace
            for workspace in (table.workspaces or {}).values()
            for digest in workspace.keys
        }
        if table.workspaces != names_before:
            log.info(
                'workspaces_changed',
                extra={
                    'revision': table.revision,
                    'workspaces': len(table.workspaces or ()),
                    'keys': len(self._by_digest),
                    'added': len(self._by_digest.keys() - before),
                    'removed': len(before - self._by_digest.keys()),
                },
            )

    def identify(
        self, route: Route, digest: KeyDigest | None
    ) -> WorkspaceName | NotRun | None:
        """Returns the workspace of a caller.

        Args:
            route: route that the caller uses.
            digest: digest of its key; None if it sent none.

        Returns:
            The workspace; None if the caller needs none; or why it may not
            use the route now.
        """
        if self._by_name is None:
            return None
        if self._outdated:
            return NotRun(
                Reason.NOT_CURRENT,
                NOT_CURRENT_RETRY_MS,
                'the configuration may be out of date',
            )
        workspace = None if digest is None else self._by_digest.get(digest)
        if workspace is not None:
            return workspace.name
        if route.auth_exempt:
            return None
        missing = 'no key was sent' if digest is None else 'the key is unknown'
        return NotRun(Reason.UNKNOWN_KEY, detail=missing)

    @property
    def without_keys(self) -> frozenset[WorkspaceName]:
        """Workspaces without keys, and those that the last table removed."""
        known = (self._by_name or {}).values()
        keyless = {workspace.name for workspace in known if not workspace.keys}
        return self._removed | keyless

    def find(self, name: WorkspaceName) -> Workspace | None:
        """Returns the workspace of this name; None if there is none."""
        return (self._by_name or {}).get(name)

    def priority(self, name: WorkspaceName | None) -> int:
        """Returns the priority of a workspace; 0 is the most urgent.

        Args:
            name: the workspace; None for callers without one.
        """
        workspace = None if name is None else self.find(name)
        return DEFAULT_PRIORITY if workspace is None else workspace.priority


def digest_of(key: str) -> KeyDigest | None:
    """Returns the digest of a key; None for the empty key, which nobody has.

    Args:
        key: the key. Bytes that are not UTF-8 stand in it as lone surrogates.
    """
    if not key:
        return None
    content = key.encode('utf-8', 'surrogatepass')
    return KeyDigest(blake2b(content, digest_size=DIGEST_SIZE).digest())


def digest_prefix(digest: KeyDigest | None) -> str:
    """Returns the first digits of a digest for logs; empty without a key."""
    return '' if digest is None else digest.hex()[:PREFIX_DIGITS]


def by_name(
    workspaces: Collection[Workspace],
) -> Result[Mapping[WorkspaceName, Workspace], WorkspaceConflict]:
    """Returns workspaces by name.

    Args:
        workspaces: all workspaces of a configuration.

    Returns:
        The workspaces, or which of them have the same name or key.
    """
    named: dict[WorkspaceName, Workspace] = {}
    owners: dict[KeyDigest, WorkspaceName] = {}
    for workspace in workspaces:
        name = workspace.name
        if name in named:
            return Error(WorkspaceConflict(f'"{name}" is listed twice'))
        named[name] = workspace
        for digest in workspace.keys:
            owner = owners.setdefault(digest, name)
            if owner != name:
                conflict = f'"{owner}" and "{name}" have the same key'
                return Error(WorkspaceConflict(conflict))
    return Ok(named)
