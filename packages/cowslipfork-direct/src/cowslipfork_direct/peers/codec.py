"""Encodes and decodes the lines between two nodes, and the messages in them."""

from __future__ import annotations

from functools import cache
from typing import Any, Final, TypeVar, cast

import msgspec

from cowslipfork.errors import CowslipforkError
from cowslipfork_direct.peers.frames import FrameToClient, FrameToServer

_Message = TypeVar('_Message')


class MalformedLine(CowslipforkError):
    """A line of the other node is no frame or no message of its type."""


_encoder: Final = msgspec.json.Encoder()


def encode_body(message: object) -> msgspec.Raw:
    """Returns a message as the body of a frame.

    Args:
        message: any value that msgspec encodes.
    """
    return msgspec.Raw(_encoder.encode(message))


def encode_line(message: object) -> bytes:
    """Returns a frame or ``PeerHello`` as a line, with its line feed.

    Args:
        message: the frame.
    """
    return _encoder.encode_lines((message,))


def decode(
    encoded: bytes | msgspec.Raw, message_type: type[_Message]
) -> _Message:
    """Decodes ``PeerHello`` or the body of a frame.

    Args:
        encoded: JSON.
        message_type: type of the message. A union of tagged types is passed
            with ``cast('type[A | B]', A | B)``.

    Returns:
        The message.

    Raises:
        MalformedLine: the JSON does not have this type.
    """
    return _decode(_decoder(cast(Any, message_type)), encoded)


def decode_for_server(line: bytes) -> FrameToServer:
    """Decodes a line that a server received.

    Args:
        line: the line; a line feed at its end is ignored.

    Returns:
        The frame.

    Raises:
        MalformedLine: the line is no frame for a server.
    """
    return _decode(_server_decoder, line)


def decode_for_client(line: bytes) -> FrameToClient:
    """Decodes a line that a client received.

    Args:
        line: the line; a line feed at its end is ignored.

    Returns:
        The frame.

    Raises:
        MalformedLine: the line is no frame for a client.
    """
    return _decode(_client_decoder, line)


_server_decoder: Final[msgspec.json.Decoder[FrameToServer]] = (
    msgspec.json.Decoder(FrameToServer)
)
_client_decoder: Final[msgspec.json.Decoder[FrameToClient]] = (
    msgspec.json.Decoder(FrameToClient)
)


@cache
def _decoder(message_type: Any) -> msgspec.json.Decoder[Any]:
    return msgspec.json.Decoder(message_type)


def _decode(
    decoder: msgspec.json.Decoder[_Message], encoded: bytes | msgspec.Raw
) -> _Message:
    try:
        return decoder.decode(encoded)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise MalformedLine(str(error)) from error
