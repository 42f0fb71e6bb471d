"""Classifies statements, once for each shape."""

from __future__ import annotations

from functools import lru_cache

from cowslipfork.requests import _patterns as patterns
from cowslipfork.requests._rules import BY_FIRST_WORD, read_rule, refused
from cowslipfork.requests.shape import shape_of
from cowslipfork.requests.statement import Classified

#: Shapes kept; a longer shape than ``SHAPE_CHARACTERS`` is not kept.
SHAPES = 4096
SHAPE_CHARACTERS = 4096


def classify(sql: str) -> Classified:
    """Says what a statement does.

    What is not understood counts as a write, or is refused where a write on
    a pooled connection would be wrong too.

    Args:
        sql: a statement.

    Returns:
        Its class, from a bounded cache of shapes, or why it is refused.
    """
    shape = shape_of(sql)
    if len(shape) > SHAPE_CHARACTERS:
        return _classify(shape, parsed=False)
    return _classify_cached(shape)


def _classify(shape: str, *, parsed: bool) -> Classified:
    text = shape.lower().rstrip('; \t\r\n')
    if not text:
        return refused('the statement is empty')
    why = _refusal(text)
    if why:
        return refused(why)
    first = patterns.FIRST_WORD.match(text)
    word = first.group() if first else text[0]
    rule = BY_FIRST_WORD.get(word)
    if rule is None:
        return refused(f'{word.upper()} is not supported')
    if rule is read_rule:
        return read_rule(text, parsed=parsed)
    return rule(text)


def _refusal(text: str) -> str | None:
    bare = patterns.QUOTED_NAME.sub('name', text) if '`' in text else text
    return next(
        (why for pattern, why in patterns.REFUSALS if pattern.search(bare)),
        None,
    )


@lru_cache(maxsize=SHAPES)
def _classify_cached(shape: str) -> Classified:
    return _classify(shape, parsed=True)
