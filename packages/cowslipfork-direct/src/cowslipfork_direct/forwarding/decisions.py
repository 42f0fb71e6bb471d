"""Where a statement is sent next, and how it ends after a failure.

Decisions without input or output. A write is never sent to a second node once
the first one may have received it. A transaction of which an endpoint has not
received COMMIT leaves nothing behind.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

from cowslipfork.ids import VmId
from cowslipfork.outcomes import NotRun, Reason, Unknown
from cowslipfork_direct.answers import DirectOutcome
from cowslipfork_direct.attempt import RETRY_AFTER_MS
from cowslipfork_direct.statements import Verb
from cowslipfork_direct.work import StatementRequest

#: Seconds before the deadline from which a statement is not sent to another
#: node any more: that node would refuse it for lack of time.
MIN_TIME_TO_FORWARD: Final = 0.12

#: Reasons with which a node says that it does not serve the group at present,
#: in contrast to a node that has no room.
_DECLINED: Final = frozenset((Reason.NO_CARRIER, Reason.DRAINING))


@unique
class Work(Enum):
    """What a statement does, as far as a lost carrier is concerned."""

    READ = 'read'
    WRITE = 'write'
    FIRST_IN_TRANSACTION = 'first_in_transaction'
    IN_TRANSACTION = 'in_transaction'
    COMMIT = 'commit'


@unique
class Failure(Enum):
    """Why a carrier did not execute a statement, or may not have done so."""

    #: Nothing was sent.
    NOT_REACHED = 'not_reached'
    #: The carrier said that it does not serve the group at present.
    DECLINED = 'declined'
    #: No reply came, and the statement may have been received.
    LOST = 'lost'


@dataclass(frozen=True, slots=True)
class FailedTry:
    """A try to execute a statement at a carrier.

    Attributes:
        failure: how it failed.
        detail: cause for the log and the caller.
    """

    failure: Failure
    detail: str


def work_of_single(request: StatementRequest) -> Work:
    """Returns what a statement outside of a transaction does.

    Args:
        request: the statement.
    """
    return Work.WRITE if request.writes else Work.READ


def work_in_transaction(request: StatementRequest, *, first: bool) -> Work:
    """Returns what a statement of a transaction does.

    Args:
        request: the statement.
        first: whether no carrier has executed a statement of the transaction.
    """
    if first:
        return Work.FIRST_IN_TRANSACTION
    if request.statement.verb is Verb.COMMIT:
        return Work.COMMIT
    return Work.IN_TRANSACTION


def next_node(
    order: Iterable[VmId],
    entry: VmId,
    tried: Collection[VmId],
    available: Callable[[VmId], bool],
) -> VmId | None:
    """Returns the node that should execute a statement.

    Args:
        order: nodes from best to worst, which include the entry node.
        entry: the node that the caller is connected to, always available.
        tried: nodes that have failed to execute the statement.
        available: whether another node is neither suspected nor leaving.

    Returns:
        The first node that may be tried; None if all have been.
    """
    untried = (node for node in order if node not in tried)
    usable = (node for node in untried if node == entry or available(node))
    return next(usable, None)


def may_try_next(work: Work, failure: Failure) -> bool:
    """Returns whether a statement may be sent to another node.

    Args:
        work: what the statement does.
        failure: how the last try failed.
    """
    if work is Work.READ:
        return True
    if failure is Failure.LOST:
        return False
    return work in {Work.WRITE, Work.FIRST_IN_TRANSACTION}


def final_outcome(
    work: Work, commits: bool, failed: FailedTry
) -> NotRun | Unknown:
    """Returns the outcome of a statement that is not tried again.

    Args:
        work: what the statement does.
        commits: whether the statement is COMMIT.
        failed: the last try.
    """
    received = failed.failure is Failure.LOST
    if received and (work is Work.WRITE or commits):
        return Unknown(None, detail=failed.detail)
    if received and work is Work.READ:
        return Unknown(None, detail=failed.detail, reason=Reason.DEADLINE)
    if work in {Work.READ, Work.WRITE}:
        return NotRun(Reason.NO_CARRIER, RETRY_AFTER_MS, failed.detail)
    return NotRun(Reason.TRANSACTION_LOST, RETRY_AFTER_MS, failed.detail)


def declined(outcome: DirectOutcome) -> bool:
    """Returns whether a carrier does not serve the group at present.

    Args:
        outcome: the carrier's reply.
    """
    return isinstance(outcome, NotRun) and outcome.reason in _DECLINED
