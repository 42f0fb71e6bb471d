"""Decodes what other processes write; no input raises an error."""

from __future__ import annotations

import re
from typing import Final, TypeVar

import msgspec
from expression import Error, Ok, Result

from cowslipfork.errors import CowslipforkError

#: Most digits of a whole number; longer ones are of another writer.
MAX_DIGITS: Final = 18

#: A blank or a line break in a name would change what else is on its line.
_WORD: Final = re.compile(r'[^\x00-\x20\x7f]+')

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


def is_word(name: str) -> bool:
    """Returns whether a name can be sent as one field of a line.

    Args:
        name: any text, also of other scripts.
    """
    return _WORD.fullmatch(name) is not None
