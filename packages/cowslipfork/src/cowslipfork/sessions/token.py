"""Codec of session tokens: the highest acknowledged mark per group.

A token is opaque to callers: a version prefix, then base64 of a checksum and
a protobuf message. The checksum finds damage, not forgery: a forged token
changes only how fresh its own bearer's reads are.
"""

from __future__ import annotations

import binascii
from base64 import urlsafe_b64decode, urlsafe_b64encode
from collections.abc import Mapping
from typing import TypeAlias

from expression import Error, Ok, Result
from google.protobuf.message import DecodeError
from xxhash import xxh64_digest

from cowslipfork.errors import CowslipforkError
from cowslipfork.ids import GroupName, Mark, Position, Term
from cowslipfork.wire.session_pb2 import SessionTokenMessage, TokenMark

#: Most groups in a token.
MAX_TOKEN_GROUPS = 64

_PREFIX = 'cowslip1.'
_CHECKSUM_BYTES = 8
_LONGEST_TOKEN = 16_384

Marks: TypeAlias = Mapping[GroupName, Mark]


class TokenMalformed(CowslipforkError):
    """A session token that no proxy has handed out, or a damaged one."""


def is_token(text: str) -> bool:
    """Tells a token from a session id.

    Args:
        text: value of the ``session`` attribute.

    Returns:
        True if it claims to be a token.
    """
    return text.startswith('cowslip') and '.' in text[:_LONGEST_TOKEN]


def encode_token(marks: Marks) -> Result[str, TokenMalformed]:
    """Writes a token.

    Args:
        marks: highest acknowledged marks by group.

    Returns:
        The token, or why there can't be one.
    """
    if len(marks) > MAX_TOKEN_GROUPS:
        return Error(
            TokenMalformed(
                f'a session spans at most {MAX_TOKEN_GROUPS} groups'
            ),
        )
    message = SessionTokenMessage(
        marks=[
            TokenMark(group=group, term=mark.term, position=mark.position)
            for group, mark in sorted(marks.items())
        ],
    )
    body = message.SerializeToString(deterministic=True)
    packed = urlsafe_b64encode(xxh64_digest(body) + body)
    return Ok(_PREFIX + packed.decode('ascii').rstrip('='))


def decode_token(text: str) -> Result[dict[GroupName, Mark], TokenMalformed]:
    """Reads a token.

    Args:
        text: the token as the caller sent it.

    Returns:
        Its marks by group, or why it can't be read.
    """
    if len(text) > _LONGEST_TOKEN:
        return Error(TokenMalformed('session token is too long'))
    if not text.startswith(_PREFIX):
        return Error(TokenMalformed('session token of another version'))
    packed = text.removeprefix(_PREFIX)
    padding = '=' * (-len(packed) % 4)
    try:
        content = urlsafe_b64decode(packed.encode('ascii') + padding.encode())
    except (binascii.Error, UnicodeEncodeError):
        return Error(TokenMalformed('session token is not base64'))
    checksum, body = content[:_CHECKSUM_BYTES], content[_CHECKSUM_BYTES:]
    if checksum != xxh64_digest(body):
        return Error(TokenMalformed('session token is damaged'))
    return _read_marks(body)


def _read_marks(body: bytes) -> Result[dict[GroupName, Mark], TokenMalformed]:
    try:
        message = SessionTokenMessage.FromString(body)
    except DecodeError:
        return Error(TokenMalformed('session token is damaged'))
    if len(message.marks) > MAX_TOKEN_GROUPS:
        return Error(TokenMalformed('session token spans too many groups'))
    return Ok(
        {
            GroupName(entry.group): Mark(
                Term(entry.term),
                Position(entry.position),
            )
            for entry in message.marks
        },
    )
