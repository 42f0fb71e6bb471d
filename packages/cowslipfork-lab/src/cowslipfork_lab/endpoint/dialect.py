"""Translation of MySQL statements to SQLite, once per statement shape."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from functools import lru_cache
from types import MappingProxyType

import sqlglot
from sqlglot import expressions as exp

from cowslipfork_lab.endpoint.failures import ErrorNumber, StatementFailed

#: Statement shapes whose translation is kept.
TRANSLATION_CACHE_SIZE = 2048

_TOKEN = re.compile(
    r"""
    (?P<comment>/\*.*?\*/|--\s[^\n]*|\#[^\n]*)
    |(?P<quoted>(?P<charset>\b_[a-z0-9]+\s*)?
        (?:'(?:[^'\\]|\\.|'')*'|"(?:[^"\\]|\\.|"")*"))
    |\b[xX]'(?P<hex>[0-9a-fA-F]*)'
    |(?P<name>`[^`]*`)
    |(?P<clock>\b(?:CURRENT_TIMESTAMP|LOCALTIMESTAMP|LOCALTIME)\b(?:\(\d*\))?
        |\bNOW\(\d*\))
    """,
    re.VERBOSE | re.DOTALL | re.IGNORECASE,
)
_NUMBER = re.compile(r'(?<![\w.:`])\d+(?:\.\d+)?(?![\w.`])')
_ESCAPE = re.compile(r'\\(.)', re.DOTALL)
_ESCAPED = MappingProxyType(
    {'0': '\0', 'n': '\n', 'r': '\r', 't': '\t', 'b': '\b', 'Z': '\x1a'}
)
_UPSERT = re.compile('ON DUPLICATE KEY UPDATE(?: SET)?', re.IGNORECASE)
_UPSERT_VALUE = re.compile(r'VALUES\((\w+|"\w+")\)', re.IGNORECASE)
_FIRST_WORD = re.compile(r'[\s(]*([A-Za-z]+)')
_LOCKING = re.compile(r'\bFOR\s+(?:UPDATE|SHARE)\b|\bLOCK IN SHARE', re.I)

READS = frozenset(('SELECT', 'SHOW', 'WITH', 'EXPLAIN', 'DESCRIBE', 'DESC'))
SCHEMA_CHANGES = frozenset(('CREATE', 'ALTER', 'DROP', 'TRUNCATE', 'RENAME'))

Parameter = str | bytes | int | float


@dataclass(frozen=True, slots=True)
class Statement:
    """A statement without its string literals.

    Attributes:
        text: as the client sent it.
        shape: with named placeholders for string literals.
        parameters: literals by placeholder name.
        verb: first word in upper case.
    """

    text: str
    shape: str
    parameters: Mapping[str, Parameter]
    verb: str

    @property
    def is_read(self) -> bool:
        """Whether it changes nothing."""
        return self.verb in READS

    @property
    def locks(self) -> bool:
        """Whether it is a read that locks like a write."""
        return self.is_read and _LOCKING.search(self.shape) is not None

    @property
    def is_schema_change(self) -> bool:
        """Whether it is DDL."""
        return self.verb in SCHEMA_CHANGES


def parse_statement(text: str) -> Statement:
    """Takes the string literals out of a statement.

    Args:
        text: one MySQL statement.

    Returns:
        The statement with its shape and parameters.
    """
    text = text.strip().rstrip(';')
    word = _FIRST_WORD.match(text)
    verb = word.group(1).upper() if word else ''
    if verb in SCHEMA_CHANGES:
        return Statement(text, text, {}, verb)
    parameters: dict[str, Parameter] = {}

    def replace(match: re.Match[str]) -> str:
        if match.group('comment'):
            return ' '
        if match.group('name'):
            return match.group()
        if match.group('clock'):
            return 'NOW()'
        name = f'p{len(parameters)}'
        digits = match.group('hex')
        parameters[name] = (
            _literal(match) if digits is None else bytes.fromhex(digits)
        )
        return f' :{name}'

    return Statement(text, _TOKEN.sub(replace, text), parameters, verb)


def without_numbers(statement: Statement) -> Statement:
    """Takes the numbers out too, so that shapes repeat in the cache."""
    parameters = dict(statement.parameters)

    def replace(match: re.Match[str]) -> str:
        name = f'n{len(parameters)}'
        digits = match.group()
        parameters[name] = float(digits) if '.' in digits else int(digits)
        return f':{name}'

    shape = _NUMBER.sub(replace, statement.shape)
    return Statement(statement.text, shape, parameters, statement.verb)


@lru_cache(maxsize=TRANSLATION_CACHE_SIZE)
def translate(shape: str) -> str:
    """Translates a shape that SQLite itself doesn't understand.

    Args:
        shape: MySQL statement, with named placeholders.

    Returns:
        The same for SQLite.

    Raises:
        StatementFailed: the statement is not understood.
    """
    try:
        tree = sqlglot.parse_one(shape, read='mysql')
    except sqlglot.errors.SqlglotError as error:
        raise StatementFailed(ErrorNumber.SYNTAX, str(error)) from error
    if isinstance(tree, exp.TruncateTable):
        table = tree.expressions[0].sql('sqlite')
        return f'DELETE FROM {table}'
    sql = tree.sql('sqlite', unsupported_level=sqlglot.ErrorLevel.IGNORE)
    if _UPSERT.search(sql):
        sql = _UPSERT.sub('ON CONFLICT DO UPDATE SET', sql)
        sql = _UPSERT_VALUE.sub(r'excluded.\1', sql)
    return sql


def _literal(match: re.Match[str]) -> Parameter:
    quoted = match.group('quoted')
    charset = match.group('charset') or ''
    body = quoted[len(charset) :]
    quote = body[0]
    body = body[1:-1].replace(quote * 2, quote)
    if '\\' in body:
        body = _ESCAPE.sub(_unescape, body)
    if charset.strip().lower() == '_binary':
        return body.encode('utf-8', 'surrogateescape')
    return body


def _unescape(match: re.Match[str]) -> str:
    return _ESCAPED.get(match.group(1), match.group(1))
