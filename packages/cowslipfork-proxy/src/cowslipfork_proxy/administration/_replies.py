"""Replies of the administration API from the domain's outcomes."""

from __future__ import annotations

from typing import TypeAlias

from expression import Result

from cowslipfork.changes import (
    Accepted,
    Conflict,
    Unavailable,
)
from cowslipfork.configuration import (
    Problems,
    redact,
)
from cowslipfork.wire import admin_pb2
from cowslipfork.wire.records_pb2 import ConfigurationRecord

_MILLISECONDS = 1000

_Refusal: TypeAlias = Problems | Conflict | Unavailable


def accept_reply(outcome: Result[Accepted, _Refusal]) -> admin_pb2.AcceptReply:
    """Words the outcome of a change.

    Args:
        outcome: what became of it.

    Returns:
        The message for the operator.
    """
    if outcome.is_ok():
        return admin_pb2.AcceptReply(
            accepted_revision=outcome.ok.revision,
            repeated=outcome.ok.repeated,
        )
    refusal = outcome.error
    if isinstance(refusal, Problems):
        return admin_pb2.AcceptReply(problems=_problems(refusal))
    if isinstance(refusal, Conflict):
        return admin_pb2.AcceptReply(
            conflict=admin_pb2.Conflict(
                current_revision=refusal.current,
                operator=refusal.operator,
                difference=refusal.difference,
            ),
        )
    return admin_pb2.AcceptReply(
        unavailable=admin_pb2.Unavailable(
            retry_after_ms=int(refusal.retry_after * _MILLISECONDS),
            detail=refusal.detail,
            may_have_landed=refusal.may_have_landed,
        ),
    )


def redacted(record: ConfigurationRecord) -> ConfigurationRecord:
    """Copies a record without its secrets, for viewers.

    Args:
        record: an accepted configuration.

    Returns:
        The copy.
    """
    copy = ConfigurationRecord()
    copy.CopyFrom(record)
    copy.base = redact(record.base)
    for site, overlay in record.overlays.items():
        copy.overlays[site] = redact(overlay)
    return copy


def _problems(problems: Problems) -> admin_pb2.Problems:
    return admin_pb2.Problems(
        problems=[
            admin_pb2.Problem(
                file=problem.file,
                section=problem.section,
                key=problem.key,
                text=problem.text,
                kind=problem.kind.value,
            )
            for problem in problems.problems
        ],
    )
