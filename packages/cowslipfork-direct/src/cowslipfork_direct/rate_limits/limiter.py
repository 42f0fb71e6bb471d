"""Token buckets of the workspaces whose limiter this node is.

Answers these load patterns: demand for a workspace that is uneven over the
nodes and moves between them, nodes that are cut off from the limiter and grant
their fallback shares meanwhile, and limits that rise and fall.

A bucket accumulates from the start of this node's tenure, so that a change of
the limiter never grants a burst twice. Shares of live nodes that may be
granting operations on their own are subtracted from the rate.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Final

from cowslipfork.ids import WorkspaceName
from cowslipfork.limits.rate_limit import RetryQueue, TokenBucket
from cowslipfork_direct.rate_limits.limits import (
    FALLBACK_FRACTION,
    LimitInForce,
    first_tokens,
    newest,
)
from cowslipfork_direct.rate_limits.messages import (
    Acquire,
    Granted,
    NotLimiter,
    Report,
    Reported,
)
from cowslipfork_direct.rate_limits.votes import REPORT_INTERVAL, Tenure, Votes
from cowslipfork_direct.routes import RateLimit

#: Milliseconds in a second.
_MS: Final = 1000


@dataclass(slots=True)
class _Allowance:
    """The bucket of a workspace within one tenure."""

    bucket: TokenBucket
    since: float
    retries: RetryQueue = field(default_factory=RetryQueue)


@dataclass(frozen=True, slots=True)
class LimiterContext:
    """What a limiter knows of its node.

    Attributes:
        limit_of: returns the limit of a workspace in this node's configuration.
        workspaces: returns all workspaces of it.
        registered: returns the number of registered nodes.
        now: clock in seconds that also runs while the machine is suspended.
    """

    limit_of: Callable[[WorkspaceName], LimitInForce]
    workspaces: Callable[[], Iterable[WorkspaceName]]
    registered: Callable[[], int]
    now: Callable[[], float]


class Limiter:
    """Grants operations of the workspaces whose limiter this node is."""

    def __init__(self, context: LimiterContext, votes: Votes) -> None:
        """Starts without buckets.

        Args:
            context: what it knows of its node.
            votes: votes that this node has received.
        """
        self._context = context
        self._votes = votes
        self._allowances: dict[WorkspaceName, _Allowance] = {}
        self._limits: dict[WorkspaceName, LimitInForce] = {}
        self._fallback_nodes = 0
        self._counted_at = -REPORT_INTERVAL

    @property
    def buckets(self) -> int:
        """Number of buckets that are neither full nor forgotten."""
        return len(self._allowances)

    def report(self, report: Report) -> Reported:
        """Records that a node is there and whom it votes for."""
        now = self._context.now()
        self._votes.record(report, now)
        if self._votes.extension_due(now):
            self._votes.extend_all(self._context.workspaces(), now)
        return Reported(now)

    def acquire(self, message: Acquire) -> Granted | NotLimiter:
        """Grants as many operations as there are tokens.

        Args:
            message: an entry node's request.

        Returns:
            The number of granted operations, or that another node is asked.
        """
        now = self._context.now()
        tenure = self._votes.tenure(message.workspace, now)
        if tenure is None:
            self._allowances.pop(message.workspace, None)
            return NotLimiter()
        limit = self._newest_limit(message).limit
        if limit is None:
            return Granted(message.operations)
        allowance = self._allowance(message.workspace, tenure, limit)
        bucket = allowance.bucket
        bucket.set_limit(limit.rate * self._own_fraction(now), limit.burst, now)
        if message.returned:
            taken_at = now - message.returned_age_ms / _MS
            bucket.give_back(message.returned, taken_at)
        granted = bucket.take(message.operations, now)
        rejected = message.operations - granted
        if not rejected:
            return Granted(granted)
        wait = bucket.seconds_to_token(now)
        last = allowance.retries.reserve(
            rejected + message.refused, wait, bucket.rate, now
        )
        return Granted(granted, _milliseconds(wait), _milliseconds(last))

    def tick(self) -> None:
        """Forgets buckets that are full and unused.

        Call it with each report of this node.
        """
        now = self._context.now()
        self._allowances = {
            workspace: allowance
            for workspace, allowance in self._allowances.items()
            if self._is_needed(workspace, allowance, now)
        }
        self._limits = {
            workspace: limit
            for workspace, limit in self._limits.items()
            if limit.revision > self._context.limit_of(workspace).revision
        }

    def _is_needed(
        self, workspace: WorkspaceName, allowance: _Allowance, now: float
    ) -> bool:
        tenure = self._votes.tenure(workspace, now)
        limit = self._limit(workspace).limit
        if tenure is None or limit is None or tenure.since != allowance.since:
            return False
        return not (
            allowance.bucket.full(now) and _new_bucket(limit, tenure).full(now)
        )

    def _allowance(
        self, workspace: WorkspaceName, tenure: Tenure, limit: RateLimit
    ) -> _Allowance:
        known = self._allowances.get(workspace)
        if known is not None and known.since == tenure.since:
            return known
        allowance = _Allowance(_new_bucket(limit, tenure), tenure.since)
        self._allowances[workspace] = allowance
        return allowance

    def _newest_limit(self, message: Acquire) -> LimitInForce:
        """Returns the newest limit, which may be the entry node's."""
        told = LimitInForce(message.limit, message.revision)
        limit = newest(self._limit(message.workspace), told)
        if limit is told:
            self._limits[message.workspace] = told
        return limit

    def _limit(self, workspace: WorkspaceName) -> LimitInForce:
        own = self._context.limit_of(workspace)
        told = self._limits.get(workspace)
        return own if told is None else newest(own, told)

    def _own_fraction(self, now: float) -> float:
        """Returns the part of the rate that other nodes don't grant."""
        if now - self._counted_at >= REPORT_INTERVAL / 4:
            self._fallback_nodes = self._votes.fallback_nodes(now)
            self._counted_at = now
        nodes = max(1, self._context.registered())
        return max(0, 1 - FALLBACK_FRACTION * self._fallback_nodes / nodes)


def _new_bucket(limit: RateLimit, tenure: Tenure) -> TokenBucket:
    """Returns a bucket for a workspace that was not asked for in a tenure.

    Until the limiter is asked, all nodes may be granting their own shares.
    """
    own_rate = limit.rate * (1 - FALLBACK_FRACTION)
    initial = first_tokens(limit)
    return TokenBucket(own_rate, limit.burst, tenure.since, initial)


def _milliseconds(seconds: float) -> int:
    """Returns whole milliseconds, rounded up: a token is there by then."""
    return int(seconds * _MS) + 1
