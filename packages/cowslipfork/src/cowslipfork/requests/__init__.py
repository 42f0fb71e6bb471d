"""What a caller asks for, and what an endpoint answers."""

from cowslipfork.requests.answer import Answer, Cell, Column, Row, Rows
from cowslipfork.requests.request import Operation, Request, Run

__all__ = (
    'Answer',
    'Cell',
    'Column',
    'Operation',
    'Request',
    'Row',
    'Rows',
    'Run',
)
