"""Identifiers and log marks shared by every part of cowslipfork."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NewType

GroupName = NewType('GroupName', str)
EndpointId = NewType('EndpointId', str)
VmId = NewType('VmId', str)
FailureDomain = NewType('FailureDomain', str)
RegionName = NewType('RegionName', str)
SiteName = NewType('SiteName', str)
KindName = NewType('KindName', str)
ClassName = NewType('ClassName', str)
TeamName = NewType('TeamName', str)
WorkspaceName = NewType('WorkspaceName', str)
SessionId = NewType('SessionId', str)
RequestId = NewType('RequestId', str)
TransactionId = NewType('TransactionId', str)

#: Number of a reign of one primary; grows by one with each claim.
Term = NewType('Term', int)

#: Number of a log entry, counted from 1 within a group.
Position = NewType('Position', int)

#: Number of an accepted configuration, counted from 1.
Revision = NewType('Revision', int)

#: Number of a start of a VM's process; a later start has a higher one.
Incarnation = NewType('Incarnation', int)


@dataclass(frozen=True, order=True, slots=True)
class Mark:
    """A place in a group's log; marks order by term, then by position.

    Attributes:
        term: term in which the log entry was written.
        position: position of the log entry.
    """

    term: Term
    position: Position


INITIAL_MARK = Mark(Term(0), Position(0))
