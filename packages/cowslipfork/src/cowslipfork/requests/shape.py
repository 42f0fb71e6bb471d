"""Shapes of statements: what is left without literals and comments."""

from __future__ import annotations

import re
from types import MappingProxyType

STRING = '|'.join(
    (r"'(?:[^'\\]++|\\.|'')*+'", r'"(?:[^"\\]++|\\.|"")*+"'),
)
_NUMBER = r'(?:(?<!\w)\.)?\b\d[\w.]*+'
QUOTED_NAME = '`(?:[^`]++|``)*+`'
COMMENT = r'/\*(?![!M]).*?\*/|\#[^\n]*+|--(?=\s|\Z)[^\n]*+'

_PLAIN = re.compile(f'{STRING}|{_NUMBER}', re.DOTALL)
_ANY = re.compile(f'{STRING}|{QUOTED_NAME}|{COMMENT}|{_NUMBER}', re.DOTALL)
_LIST = re.compile(r'\(\s*\?(?:\s*,\s*\?)++\s*\)')
_LISTS = re.compile(r'\(\?\)(?:\s*,\s*\(\?\))++')
_COMMENT_STARTS = frozenset('/#-')
_QUOTES = frozenset(('"', "'"))
_ESCAPE = re.compile(r'\\(.)|(["\'])\2', re.DOTALL)
_ESCAPES = MappingProxyType(
    dict(zip('0bnrtZ', '\0\b\n\r\t\x1a', strict=True)),
)

_ESCAPED = str.maketrans(
    {
        '\\': r'\\',
        "'": r'\'',
        '\0': r'\0',
        '\n': r'\n',
        '\r': r'\r',
        '\x1a': r'\Z',
    },
)


def _mask(found: re.Match[str]) -> str:
    token = found.group()
    if token[0] == '`':
        return token
    return ' ' if token[0] in _COMMENT_STARTS else '?'


def shape_of(sql: str) -> str:
    """Removes literals and comments, and folds lists of literals.

    Quoted names stay. Statements that differ only in literals, or in the
    length of a list of literals, have the same shape.

    Args:
        sql: a statement.

    Returns:
        The statement with ``?`` for each literal.
    """
    if '`' in sql or '/*' in sql or '#' in sql or '--' in sql:
        shape = _ANY.sub(_mask, sql)
    else:
        shape = _PLAIN.sub('?', sql)
    if '?,' in shape:
        shape = _LIST.sub('(?)', shape)
    if '),' in shape:
        shape = _LISTS.sub('(?)', shape)
    return shape.strip()


def without_comments(sql: str) -> str:
    """Removes comments only.

    Args:
        sql: a statement.

    Returns:
        The statement with its literals.
    """

    def keep(found: re.Match[str]) -> str:
        token = found.group()
        return ' ' if token[0] in _COMMENT_STARTS else token

    return _ANY.sub(keep, sql).strip()


def unquote(literal: str) -> str:
    """Gives the content of a string literal.

    Args:
        literal: a literal with its quotes, or any other text.

    Returns:
        The content with escapes resolved; other text as it is.
    """
    quote = literal[:1]
    if quote not in _QUOTES:
        return literal

    def resolve(found: re.Match[str]) -> str:
        escaped = found.group(1)
        if escaped is None:
            doubled = found.group()
            return quote if doubled[0] == quote else doubled
        return _ESCAPES.get(escaped, escaped)

    return _ESCAPE.sub(resolve, literal[1:-1])


def quote(text: str) -> str:
    """Writes a string literal.

    Args:
        text: its content.

    Returns:
        The literal with its quotes.
    """
    return f"'{text.translate(_ESCAPED)}'"
