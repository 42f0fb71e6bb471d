"""Reads of session variables, which no SQL engine needs to see."""

from __future__ import annotations

import re
from types import MappingProxyType
from typing import TYPE_CHECKING

from cowslipfork_lab.endpoint.database import Outcome

if TYPE_CHECKING:
    from cowslipfork_lab.endpoint.session import EndpointSession

_VARIABLES = re.compile(
    r'SELECT\s+(@@[\w.]+|DATABASE\(\)|VERSION\(\))\s*(?:LIMIT 1)?\s*$',
    re.IGNORECASE,
)
_KNOWN = MappingProxyType(
    {
        'version': '8.0.36-lab',
        'version_comment': 'cowslipfork-lab',
        'max_allowed_packet': '67108864',
        'transaction_isolation': 'READ-COMMITTED',
        'sql_mode': 'STRICT_TRANS_TABLES',
    }
)


def read_variables(sql: str, session: EndpointSession) -> Outcome | None:
    """Answers a read of one variable.

    Args:
        sql: statement.
        session: its connection.

    Returns:
        One row; None if the statement is something else.
    """
    match = _VARIABLES.match(sql.strip())
    if match is None:
        return None
    name = match.group(1)
    if name.upper() == 'DATABASE()':
        return Outcome([name], [[session.database]])
    short = name.rstrip('()').rpartition('.')[2].lstrip('@').lower()
    value = session.settings.get(short, _KNOWN.get(short))
    return Outcome([name], [[value]])
