"""What a caller asks for, and what an endpoint answers."""

from cowslipfork.requests.answer import Answer, Cell, Column, Row, Rows
from cowslipfork.requests.assignments import Assignment, parse_assignments
from cowslipfork.requests.attributes import (
    ATTRIBUTES,
    NO_ATTRIBUTES,
    VARIABLE_PREFIX,
    AttributeRefused,
    QueryAttributes,
    check_attributes,
)
from cowslipfork.requests.classification import classify
from cowslipfork.requests.request import Operation, Request, RequestHandler
from cowslipfork.requests.statement import (
    LocalStatement,
    Statement,
    StatementRefused,
)

__all__ = (
    'ATTRIBUTES',
    'NO_ATTRIBUTES',
    'VARIABLE_PREFIX',
    'Answer',
    'Assignment',
    'AttributeRefused',
    'QueryAttributes',
    'Cell',
    'Column',
    'LocalStatement',
    'Operation',
    'Request',
    'Row',
    'Rows',
    'RequestHandler',
    'Statement',
    'StatementRefused',
    'check_attributes',
    'classify',
    'parse_assignments',
)
