"""Votes of nodes for limiters: at most one node holds a workspace's bucket.

Answers these failures: a limiter that freezes and wakes up, one that some nodes
reach and others don't, and nodes that learn of a change of the fleet at
different times. Without votes, two nodes would take themselves for the limiter
and grant the whole rate each.

A node votes for a candidate of each workspace: the first in rendezvous order of
all the sets of candidates that it has used within ``VOTE_VALIDITY``. So it
never votes for two candidates at once. A candidate counts a vote from the time
at which it sent the reply that the report echoes, so that a report that was
delayed, or that a frozen candidate finds when it wakes up, counts for nothing.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from itertools import chain
from typing import Final

from cowslipfork.ids import VmId, WorkspaceName
from cowslipfork_direct.rate_limits.candidates import limiter_of
from cowslipfork_direct.rate_limits.messages import Report

#: Seconds for which a vote is valid. For this long a limiter may grant the
#: whole rate while unreached nodes grant half of it, which the tenth of a
#: window of 5 s covers.
VOTE_VALIDITY: Final = 1.0

#: Seconds after its start for which a process does not vote, since an earlier
#: process may have voted for another candidate. Shorter than the validity, so
#: that a fleet that starts at once has limiters soon; two of them then overlap
#: for at most the rest of it, as after a change of the list of nodes.
VOTING_SILENCE: Final = 0.5

#: Seconds between two reports. Two of them within the validity of a vote leave
#: 0.2 s for delays.
REPORT_INTERVAL: Final = 0.4

#: Greatest number of seconds between two extensions of tenures.
EXTENSION_INTERVAL: Final = 0.1

#: Tenures are extended with each report if one ends within this many seconds.
EXTENSION_MARGIN: Final = 0.3

#: Candidates that a node uses.
UsableSet = tuple[VmId, ...]


class Ballot:
    """The sets of candidates that a node has used of late."""

    def __init__(self, now: float) -> None:
        """Starts without a vote: an earlier process may have voted.

        Args:
            now: time of the start in seconds.
        """
        self._silent_until = now + VOTING_SILENCE
        self._current: UsableSet = ()
        self._former: dict[UsableSet, float] = {}

    @property
    def current(self) -> UsableSet:
        """Candidates that the node uses now."""
        return self._current

    def use(self, usable: UsableSet, now: float) -> bool:
        """Replaces the candidates that the node uses.

        Args:
            usable: the candidates.
            now: current time.

        Returns:
            Whether they have changed.
        """
        changed = usable != self._current
        if changed and self._current:
            self._former[self._current] = now + VOTE_VALIDITY
        self._current = usable
        return changed

    def sets(self, now: float) -> tuple[UsableSet, ...]:
        """Returns the sets in use within the validity of a vote.

        Args:
            now: current time.

        Returns:
            The sets; none if they are not all known.
        """
        self._former = {
            usable: until
            for usable, until in self._former.items()
            if until > now and usable != self._current
        }
        if now < self._silent_until:
            return ()
        return (self._current, *self._former)


@dataclass(frozen=True, slots=True)
class _Vote:
    sets: tuple[UsableSet, ...]
    until: float
    falls_back: bool


@dataclass(slots=True)
class Tenure:
    """A period for which a node is the limiter of a workspace.

    Attributes:
        since: its start.
        until: time until which the votes make it certain.
    """

    since: float
    until: float


class Votes:
    """Votes that a candidate has received."""

    def __init__(
        self, node: VmId, live: Callable[[], Collection[VmId]]
    ) -> None:
        """Starts without votes.

        Args:
            node: the candidate.
            live: returns the nodes whose leases have not ended.
        """
        self._node = node
        self._live = live
        self._votes: dict[VmId, _Vote] = {}
        self._tenures: dict[WorkspaceName, Tenure] = {}
        self._extended_at = -EXTENSION_INTERVAL

    def record(self, report: Report, now: float) -> None:
        """Records a node's vote.

        Args:
            report: the node's report; it echoes this candidate's clock, or
                the one before a reboot, which may be ahead.
            now: current time.
        """
        until = min(report.echo, now) + VOTE_VALIDITY
        known = self._votes.get(report.node)
        if known is None or until >= known.until:
            self._votes[report.node] = _Vote(
                report.usable, until, report.falls_back
            )

    def fallback_nodes(self, now: float) -> int:
        """Returns how many live nodes may be granting operations on their own.

        Args:
            now: current time.
        """
        return sum(
            not self._is_served(self._votes.get(node), now)
            for node in self._live()
        )

    def tenure(self, workspace: WorkspaceName, now: float) -> Tenure | None:
        """Returns the tenure of this node as limiter of a workspace.

        Args:
            workspace: the workspace.
            now: current time.

        Returns:
            The tenure; None if the node is not the limiter.
        """
        tenure = self._tenures.get(workspace)
        if tenure is not None and now < tenure.until:
            return tenure
        return self._extend(workspace, now, self._by_sets(now))

    def extension_due(self, now: float) -> bool:
        """Returns whether ``extend_all`` must be called.

        Args:
            now: current time.
        """
        first_end = min(
            (tenure.until for tenure in self._tenures.values()),
            default=math.inf,
        )
        return (
            now >= self._extended_at + EXTENSION_INTERVAL
            or now >= first_end - EXTENSION_MARGIN
        )

    def extend_all(
        self, workspaces: Iterable[WorkspaceName], now: float
    ) -> None:
        """Extends the tenures, also of workspaces that nobody asks for.

        Args:
            workspaces: all workspaces of the configuration.
            now: current time.
        """
        self._extended_at = now
        live = self._live()
        self._votes = {
            node: vote
            for node, vote in self._votes.items()
            if node in live and vote.until > now
        }
        by_sets = self._by_sets(now)
        wanted = set(chain(workspaces, self._tenures))
        for workspace in wanted:
            self._extend(workspace, now, by_sets)

    def _extend(
        self,
        workspace: WorkspaceName,
        now: float,
        by_sets: dict[tuple[UsableSet, ...], list[float]],
    ) -> Tenure | None:
        needed = len(self._live()) // 2 + 1
        ends = sorted(
            chain.from_iterable(
                ends
                for sets, ends in by_sets.items()
                if self._is_for_this(sets, workspace)
            ),
            reverse=True,
        )
        until = ends[needed - 1] if len(ends) >= needed else now
        tenure = self._tenures.get(workspace)
        if tenure is not None and now < tenure.until:
            # Voters keep their votes until these end.
            tenure.until = max(tenure.until, until)
            return tenure
        self._tenures.pop(workspace, None)
        if until <= now:
            return None
        return self._tenures.setdefault(workspace, Tenure(now, until))

    def _by_sets(self, now: float) -> dict[tuple[UsableSet, ...], list[float]]:
        """Returns the ends of valid votes by what was voted for."""
        live = self._live()
        by_sets: dict[tuple[UsableSet, ...], list[float]] = {}
        for node, vote in self._votes.items():
            if node in live and vote.until > now:
                by_sets.setdefault(vote.sets, []).append(vote.until)
        return by_sets

    def _is_for_this(
        self, sets: tuple[UsableSet, ...], workspace: WorkspaceName
    ) -> bool:
        return bool(sets) and all(
            limiter_of(workspace, usable) == self._node for usable in sets
        )

    def _is_served(self, vote: _Vote | None, now: float) -> bool:
        return vote is not None and vote.until > now and not vote.falls_back
