import logging

from cowslipfork.logs import KeyValueFormatter


def test_an_event_is_one_line_of_pairs():
    record = logging.makeLogRecord(
        {
            'msg': 'group carried',
            'levelname': 'INFO',
            'group': 'orders',
            'why': 'two\nlines',
        },
    )

    line = KeyValueFormatter('vm1').format(record)

    assert line.endswith(
        'level=info vm=vm1 event="group carried" group=orders '
        'why="two | lines"',
    )
    assert '\n' not in line
