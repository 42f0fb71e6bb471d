"""Base types of the messages between nodes, and their errors.

A message is JSON of a type that both ends know: the server finds it by the name
of its class, the requester states the type of the reply.
"""

from __future__ import annotations

from enum import Enum, unique
from typing import Final

import msgspec

from cowslipfork.ids import VmId


class PeerRequest(msgspec.Struct, frozen=True):
    """Base of the messages that a node sends; their class names are unique."""


class PeerReply(msgspec.Struct, frozen=True):
    """Base of the replies to messages."""


class Acknowledged(PeerReply, frozen=True):
    """Reply without content."""


class PeerHello(msgspec.Struct, frozen=True):
    """First line in each direction of a peer link.

    Attributes:
        node: the sending node.
        leaving: whether it accepts no new requests because it is shutting
            down.
    """

    node: VmId
    leaving: bool = False


@unique
class RefusalReason(Enum):
    """Why a request has no reply of the type that was asked for."""

    #: The server handles no message of this name.
    UNKNOWN_MESSAGE = 'unknown_message'
    #: The message does not have the type that its name stands for.
    MALFORMED_MESSAGE = 'malformed_message'
    #: The message is too long and was not sent.
    REQUEST_TOO_LONG = 'request_too_long'
    #: The message was handled, but its reply is too long.
    REPLY_TOO_LONG = 'reply_too_long'
    #: The message was handled, but its reply does not have the type asked for.
    MALFORMED_REPLY = 'malformed_reply'
    #: The handler of the message failed with an unexpected error.
    HANDLER_FAILED = 'handler_failed'


#: Reasons that prove that the message was not handled.
NOT_HANDLED: Final = frozenset(
    (
        RefusalReason.UNKNOWN_MESSAGE,
        RefusalReason.MALFORMED_MESSAGE,
        RefusalReason.REQUEST_TOO_LONG,
    ),
)
