from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cowslipfork.requests import LocalStatement, Operation, Statement, classify
from cowslipfork.requests.shape import quote, shape_of, unquote

READ = Statement(Operation.READ)
WRITE = Statement(Operation.WRITE)
BOUND = Statement(Operation.WRITE, connection_bound=True)
DEFINITION = Statement(Operation.WRITE, implicit_commit=True)
SELECT = Statement(local=LocalStatement.SELECT)

CLASSES = (
    ('SELECT name FROM festivals WHERE id = 7', READ),
    ("select * from a join b using (id) where x = 'a''b\\'c' -- no", READ),
    ('/* app */ SELECT a FROM `update` WHERE `for update` = 1 # x', WRITE),
    ('SELECT `into`, `lock;` FROM t', READ),
    ('WITH a AS (SELECT 1 AS x FROM t) SELECT x FROM a', READ),
    ('WITH a AS (SELECT 1 AS x) UPDATE t SET b = 1', WRITE),
    ('(SELECT a FROM t) UNION ALL (SELECT b FROM u) LIMIT 3', READ),
    ('TABLE t', READ),
    ('SELECT a FROM t WHERE d > NOW() - INTERVAL 5 DAY', READ),
    ("SELECT a FROM t WHERE d = DATE '2026-01-01' LIMIT 5, 10", READ),
    ("SELECT a FROM t WHERE x = _utf8mb4'abc' AND y = x'00ff'", READ),
    ("SELECT REPLACE(a, 'b', 'c'), j->>'$.x' FROM t WHERE b = .5", READ),
    ('SELECT stored_function(a) FROM t', WRITE),
    ('SELECT a FROM t WHERE b = stored_function(1)', WRITE),
    ('SELECT a FROM t FOR UPDATE', WRITE),
    ('SELECT a FROM (SELECT a FROM t FOR SHARE) x', WRITE),
    ('SELECT a FROM t LOCK IN SHARE MODE', WRITE),
    ('SELECT FROM WHERE', WRITE),
    ('SELECT LAST_INSERT_ID() + 1 FROM t', BOUND),
    ('INSERT INTO t VALUES (LAST_INSERT_ID())', BOUND),
    ("INSERT INTO t VALUES (1, ';')", WRITE),
    ('REPLACE INTO t VALUES (1)', WRITE),
    ('CALL book(1)', WRITE),
    ('DELETE FROM t', WRITE),
    ('CREATE TABLE t (a INT)', DEFINITION),
    ('TRUNCATE t', DEFINITION),
    ('EXPLAIN SELECT a FROM t', READ),
    ('EXPLAIN ANALYZE SELECT a FROM t', WRITE),
    ('DESCRIBE t', READ),
    ('SHOW FULL TABLES', READ),
    ('SHOW CREATE TABLE t', READ),
    ('SHOW SESSION VARIABLES', Statement(local=LocalStatement.SHOW)),
    ('SET autocommit = 1', Statement(local=LocalStatement.SET)),
    ('USE `orders`', Statement(local=LocalStatement.USE)),
    ('SELECT 1', SELECT),
    ('SELECT @@a, DATABASE() AS b FROM DUAL LIMIT 1;', SELECT),
    ('BEGIN WORK', Statement(Operation.BEGIN)),
    ('START TRANSACTION READ ONLY', Statement(Operation.BEGIN)),
    ('commit', Statement(Operation.COMMIT)),
    ('ROLLBACK WORK', Statement(Operation.ROLLBACK)),
    ('ROLLBACK TO SAVEPOINT a', BOUND),
    ('RELEASE SAVEPOINT a', BOUND),
)

REFUSED = (
    '',
    ' ; ',
    '-- only a comment',
    'SELECT 1; SELECT 2',
    "SELECT 'open",
    'SELECT `open',
    'SELECT /* open',
    '/*!50000 DROP TABLE t */',
    'SELECT /*!50000 a INTO OUTFILE */ FROM t',
    'SELECT @a := 1',
    "SELECT a INTO OUTFILE '/tmp/a' FROM t",
    "SELECT GET_LOCK('a', 1)",
    'CREATE TEMPORARY TABLE t (a INT)',
    'DROP TEMPORARY TABLE t',
    'COMMIT AND CHAIN',
    'ROLLBACK RELEASE',
    'START REPLICA',
    'SHOW GROUP STATUS',
    'FENCE GROUP TERM 8',
    'PROMOTE GROUP TERM 8',
    "FOLLOW GROUP TERM 8 PRIMARY '127.0.0.1:1'",
    'LOCK TABLES t READ',
    'PREPARE a FROM b',
    'XA START a',
    'KILL 7',
)


@pytest.mark.parametrize(('sql', 'expected'), CLASSES)
def test_classes(sql, expected):
    assert classify(sql).ok == expected


@pytest.mark.parametrize('sql', REFUSED)
def test_refusals_are_typed(sql):
    assert classify(sql).is_error()


def test_a_shape_too_long_to_parse_counts_as_a_write():
    columns = ', '.join(f'column_{number}' for number in range(1000))
    assert classify(f'SELECT {columns} FROM t').ok == WRITE


def test_lists_of_literals_share_a_shape():
    short = shape_of("INSERT INTO t VALUES (1, 'a')")
    long = shape_of("INSERT INTO t VALUES (1, 'a'), (2, 'b'),\n (3, 'c')")
    assert short == long == 'INSERT INTO t VALUES (?)'


@settings(derandomize=True)
@given(st.text(), st.sampled_from((READ, WRITE)))
def test_what_stands_in_a_literal_changes_nothing(content, expected):
    literal = quote(content)
    sql = {
        READ: f'SELECT a FROM t WHERE b = {literal} AND c IN (1, {literal})',
        WRITE: f'UPDATE t SET a = {literal} WHERE b = {literal}',
    }[expected]
    assert classify(sql).ok == expected
    assert unquote(literal) == content


_PIECES = st.sampled_from(
    ('SELECT', 'a', 'FROM', 't', "'", '"', '`', '(', ')', ';', '--', '/*', '*/')
    + (
        '#',
        '\\',
        'DELETE',
        'INTO',
        'FOR UPDATE',
        '@',
        ',',
        '1',
        '?',
        '\n',
        ' ',
    ),
)


@settings(derandomize=True, max_examples=300)
@given(st.lists(_PIECES, max_size=30).map(' '.join))
def test_any_text_has_a_class_or_a_refusal(sql):
    classified = classify(sql)
    assert classified.is_error() or classified.ok
    hidden = ('INTO', 'DELETE', 'FOR UPDATE')
    if classified.is_ok() and classified.ok == READ:
        assert not any(word in shape_of(sql) for word in hidden)


def test_deep_nesting_is_no_way_to_stop_a_node():
    nested = '(' * 2000 + 'SELECT 1' + ')' * 2000
    assert classify(nested).ok.operation is Operation.WRITE
