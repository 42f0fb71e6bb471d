"""Patterns over shapes in lower case."""

from __future__ import annotations

import re

REFUSALS = tuple(
    (re.compile(pattern), why)
    for pattern, why in (
        ('/[*][!m]', 'executable comments are not supported'),
        (r'["\'`]|/[*]', 'a quote or a comment is not closed'),
        (';', 'several statements in one request are not supported'),
        (
            r'(?<!@)@(?!@)',
            'user variables are not kept between statements',
        ),
        (
            r'\b(?:get_lock|release_lock|release_all_locks)\s*\(',
            'locks by name are not supported',
        ),
        (
            r'\binto\s+(?:outfile|dumpfile)\b',
            "files of the database server can't be written",
        ),
    )
)
CONNECTION_BOUND = re.compile(
    r'\b(?:last_insert_id|found_rows|row_count|connection_id)\s*\('
    r'|\bsql_calc_found_rows\b',
)
LOCKING = re.compile(
    r'\bfor\s+(?:update|share)\b|\block\s+in\s+share\s+mode\b',
)
_ITEM = (
    r'(?:@@(?:session\.|global\.|local\.)?\w+'
    r'|(?:database|schema|version|connection_id|last_insert_id'
    r'|user|current_user|session_user|system_user)\s*\(\s*\)'
    r'|current_user|\?)'
    r'(?:\s+(?:as\s+)?(?:(?!from\b|limit\b)\w+|`[^`]*`|\?))?'
)
LOCAL_SELECT = re.compile(
    rf'select\s+{_ITEM}(?:\s*,\s*{_ITEM})*\s*(?:from\s+dual\s*)?'
    r'(?:limit\s+\?)?',
)
LOCAL_SHOW = re.compile(
    r'show\s+(?:(?:session|global|local)\s+)?(?:variables|status)\b'
    r'|show\s+(?:count\s*\(\s*[*]\s*\)\s+)?(?:warnings|errors)\b',
)
FORWARDED_SHOW = re.compile(
    r'show\s+(?:extended\s+)?(?:full\s+)?'
    '(?:tables|columns|fields|index|indexes|keys|create|table|databases'
    r'|schemas|triggers|events|procedure|function|engines|collation'
    r'|character|charset)\b',
)
BEGIN = re.compile(
    r'begin(?:\s+work)?'
    r'|start\s+transaction(?:\s+(?:read\s+(?:only|write)'
    r'|with\s+consistent\s+snapshot))?',
)
END = re.compile(
    r'(?:commit|rollback)(?:\s+work)?(?:\s+and\s+no\s+chain)?'
    r'(?:\s+no\s+release)?',
)
ROLLBACK_TO = re.compile(r'rollback\s+(?:work\s+)?to\b')
QUOTED_NAME = re.compile('`[^`]*`')
FIRST_WORD = re.compile(r'[a-z_]+|\(')
