"""Messages between entry nodes and the candidates for limiters."""

from __future__ import annotations

import msgspec

from cowslipfork.ids import Revision, VmId, WorkspaceName
from cowslipfork_direct.peers import PeerReply, PeerRequest
from cowslipfork_direct.routes import RateLimit


class Acquire(PeerRequest, frozen=True, tag=True, omit_defaults=True):
    """Asks the limiter for tokens of a workspace.

    Attributes:
        workspace: the workspace.
        operations: number of operations that wait for a token.
        limit: limit that the entry node knows; None for no limit.
        revision: revision of the configuration that the limit comes from.
        refused: operations that the entry node has refused since its last
            message because there was no token.
        returned: granted operations that did not run.
        returned_age_ms: milliseconds since the first of those was granted.
    """

    workspace: WorkspaceName
    operations: int
    limit: RateLimit | None
    revision: Revision
    refused: int = 0
    returned: int = 0
    returned_age_ms: int = 0


class Granted(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """What the limiter answers to ``Acquire``.

    Attributes:
        operations: number of operations that may run.
        token_after_ms: milliseconds until there is another token; 0 if all
            operations were granted.
        last_retry_ms: milliseconds until the last of the callers that are
            rejected now should come back.
    """

    operations: int
    token_after_ms: int = 0
    last_retry_ms: int = 0


class NotLimiter(msgspec.Struct, frozen=True, tag=True):
    """What a node answers that is not the workspace's limiter."""


class Acquired(PeerReply, frozen=True, tag=True):
    """Replies to ``Acquire``.

    Attributes:
        answer: what was granted, or that the node is not the limiter.
    """

    answer: Granted | NotLimiter


class Report(PeerRequest, frozen=True, tag=True, omit_defaults=True):
    """Tells a candidate that a node is there and which candidates it uses.

    Attributes:
        node: the node that reports.
        usable: sets of candidates that the node has used within the validity
            of a vote; empty if the node doesn't know them all.
        echo: candidate's time in the last reply to a report of this node,
            seconds of the candidate's clock; 0 without a reply.
        falls_back: whether the node has granted operations on its own since
            its last report.
    """

    node: VmId
    usable: tuple[tuple[VmId, ...], ...] = ()
    echo: float = 0
    falls_back: bool = False


class Reported(PeerReply, frozen=True, tag=True):
    """Replies to ``Report``.

    Attributes:
        at: seconds of the candidate's clock.
    """

    at: float
