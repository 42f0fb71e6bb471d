"""Frames on the connection between two nodes.

After the hellos, each line is one frame in JSON: an array that starts with the
frame's tag.
"""

from __future__ import annotations

from typing import Final, NewType

import msgspec

from cowslipfork_direct.peers.messages import RefusalReason

RequestNumber = NewType('RequestNumber', int)

#: Number of a request that is not answered.
UNANSWERED: Final = RequestNumber(0)


class _Frame(msgspec.Struct, frozen=True, array_like=True, tag=str.lower):
    """Base of the frames."""


class Request(_Frame, frozen=True):
    """A request of the node that opened the link.

    Attributes:
        number: number that the reply repeats; ``UNANSWERED`` if none is
            expected.
        name: name of the message.
        body: the message.
    """

    number: RequestNumber
    name: str
    body: msgspec.Raw


class Reply(_Frame, frozen=True):
    """The reply to a request.

    Attributes:
        number: number of the request.
        body: the reply.
    """

    number: RequestNumber
    body: msgspec.Raw


class Refused(_Frame, frozen=True):
    """An error in place of a reply.

    Attributes:
        number: number of the request.
        reason: kind of the error.
        detail: text for the log.
    """

    number: RequestNumber
    reason: RefusalReason
    detail: str = ''


class Ping(_Frame, frozen=True):
    """Requests a ``Pong``."""


class Pong(_Frame, frozen=True):
    """Shows that the sender is alive."""


class Leaving(_Frame, frozen=True):
    """The sender shuts down: it answers requests that it has, no new ones."""


#: Frames that a server receives.
FrameToServer = Request | Ping | Pong

#: Frames that a client receives.
FrameToClient = Reply | Refused | Ping | Pong | Leaving
