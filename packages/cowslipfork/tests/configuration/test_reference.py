from pathlib import Path

from cowslipfork.configuration import render_reference

PAGE = Path(__file__).parents[4] / 'docs' / 'operators' / 'configuration.md'


def test_the_operators_page_has_every_key_as_the_schema_has_it():
    """On failure: `cowslipfork config reference` prints the new end."""
    assert (
        PAGE.read_text().partition('## Reference\n\n')[2] == render_reference()
    )


def test_defaults_are_worded_as_operators_write_them():
    rows = dict.fromkeys(render_reference().splitlines())
    shown = [row for row in rows if 'probe_interval' in row]
    assert shown == [
        '| `probe_interval` | duration, 10ms to 10s | 100ms | '
        'Time between status samples of an endpoint. |',
    ]
