"""Decodes what other processes write; no input raises an error."""

from __future__ import annotations

from typing import Final, TypeVar

import msgspec
from expression import Error, Ok, Result

from cowslipfork.errors import CowslipforkError

#: Most digits of a whole number; longer ones are of another writer.
MAX_DIGITS: Final = 18

_Content = TypeVar('_Content')


class Undecodable(CowslipforkError):
    """Bytes that another writer, or another version, has written."""


def decode_json(
    encoded: bytes, content_type: type[_Content]
) -> Result[_Content, Undecodable]:
    """Decodes JSON.

    Args:
        encoded: any bytes.
        content_type: type of the content.

    Returns:
        The content; ``Undecodable`` if the bytes do not match the type, if
        they are no JSON, and if it is nested too deeply.
    """
    try:
        return Ok(msgspec.json.decode(encoded, type=content_type))
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return Error(Undecodable(f'{content_type.__name__}: {error}'))


def parse_whole_number(text: str) -> int | None:
    """Parses a whole number without a sign.

    Args:
        text: any text.

    Returns:
        The number; None if the text is none or has over ``MAX_DIGITS``.
    """
    if len(text) > MAX_DIGITS or not (text.isascii() and text.isdecimal()):
        return None
    return int(text)
