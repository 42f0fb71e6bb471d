"""SQL literals of parameter values."""

from __future__ import annotations

import math
import re

from cowslipfork.requests.shape import quote
from cowslipfork_proxy.callers.failures import MysqlErrorCode, mysql_failure

_NUMBER = re.compile(r'[-+]?(?:\d+(?:\.\d*)?|\.\d+)(?:[eE][-+]?\d+)?', re.ASCII)


def text_literal(content: bytes) -> str:
    """Writes a text; some drivers declare any bytes as text.

    Args:
        content: in UTF-8, or any bytes.

    Returns:
        A string literal, or a hexadecimal one.
    """
    try:
        return quote(content.decode('utf8'))
    except UnicodeDecodeError:
        return blob_literal(content)


def blob_literal(content: bytes) -> str:
    """Writes bytes.

    Args:
        content: any bytes.

    Returns:
        A hexadecimal literal.
    """
    return f"x'{content.hex()}'" if content else "''"


def decimal_literal(text: str) -> str:
    """Writes a decimal as it came.

    Args:
        text: digits.

    Returns:
        The same.

    Raises:
        CallerFailure: it is no number.
    """
    if not _NUMBER.fullmatch(text):
        raise mysql_failure(
            MysqlErrorCode.WRONG_ARGUMENTS, 'a decimal parameter is no number'
        )
    return text


def real_literal(number: float) -> str:
    """Writes a floating-point number.

    Args:
        number: a finite one.

    Returns:
        Digits that give the same number.

    Raises:
        CallerFailure: it is not finite.
    """
    if not math.isfinite(number):
        raise mysql_failure(
            MysqlErrorCode.WRONG_ARGUMENTS, 'a parameter is no finite number'
        )
    return repr(number)
