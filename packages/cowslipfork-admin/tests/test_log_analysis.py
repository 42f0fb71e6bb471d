import pytest
from typer.testing import CliRunner

from cowslipfork_admin.cli import app
from cowslipfork_admin.log_analysis import explain, timeline
from cowslipfork_admin.log_lines import parse_line, read_logs

ONE = """\
time="2026-01-01 10:00:00,100" level=warning vm=n1 event=leader_changed \
group=g leader=e1 term=1
time="2026-01-01 10:00:01,000" level=info vm=n1 event=configuration_read \
revision=7 before=0 routes=3 in_force=True
time="2026-01-01 10:00:02,000" level=warning vm=n1 event=leader_changed \
group=g leader=None term=None
time="2026-01-01 10:00:02,050" level=warning vm=n1 event=leader_changed \
group=other leader=e9 term=4
time="2026-01-01 10:00:02,300" level=info vm=n1 event=try_failed id=7f \
group=g ended=not_run_no_primary detail=""
time="2026-01-01 10:00:02,400" level=info vm=n1 event=request id=7f \
group=g verb=write outcome=not_run_no_primary detail="no primary"
"""

OTHER = """\
12.5 n2 {"asctime": "2026-01-01 10:00:01,500", "levelname": "WARNING", \
"event": "store_lost", "vm": "n2", "cause": "silent", "revision": 12}
this is no event
"""


@pytest.fixture
def files(tmp_path):
    one, other = tmp_path / 'n1.log', tmp_path / 'n2.log'
    one.write_text(ONE)
    other.write_text(OTHER)
    return [one, other]


def test_lines_of_all_nodes_are_sorted_by_time(files):
    lines = read_logs(files)
    assert [line.time for line in lines] == sorted(line.time for line in lines)
    assert [line.vm for line in lines].count('n2') == 1


@pytest.mark.parametrize(
    'raw',
    ['', 'this is no event', '{"a": 1}', '{broken', 'event=x', 'time=1'],
)
def test_other_lines_are_left_out(raw):
    assert parse_line(raw) is None


def test_a_request_is_followed_with_what_its_node_knew(files):
    found = explain('7f', read_logs(files))
    assert [line.event for line in found.lines] == ['try_failed', 'request']
    assert [line.event for line in found.before] == [
        'leader_changed',
        'configuration_read',
        'leader_changed',
    ]
    assert found.lines[-1].fields['detail'] == 'no primary'


def test_a_refused_key_is_followed_to_the_change_of_workspaces(tmp_path):
    """Guards the way from a refused statement to what withdrew its key."""
    file = tmp_path / 'n1.log'
    file.write_text(
        'time="2026-01-01 10:00:01,000" level=info vm=n1 '
        'event=workspaces_changed revision=8 workspaces=2 keys=3 added=0 '
        'removed=1\n'
        'time="2026-01-01 10:00:02,400" level=info vm=n1 event=request id=7f '
        'verb=write key=6cc18cc6 outcome=not_run_unknown_key\n'
    )
    found = explain('7f', read_logs([file]))
    assert [line.event for line in found.before] == ['workspaces_changed']
    assert found.before[0].fields['removed'] == '1'
    assert found.lines[-1].fields['key'] == '6cc18cc6'


def test_an_unknown_request_has_no_path(files):
    assert explain('other', read_logs(files)).lines == ()


def test_beliefs_change_one_event_at_a_time(files):
    states = [
        (line.event, {vm: dict(held.columns) for vm, held in beliefs.items()})
        for line, beliefs in timeline(read_logs(files))
    ]
    assert [event for event, _ in states] == [
        'leader_changed',
        'configuration_read',
        'store_lost',
        'leader_changed',
        'leader_changed',
    ]
    last = states[-1][1]
    assert last['n1']['primary of g'] == 'None in term None'
    assert last['n1']['primary of other'] == 'e9 in term 4'
    assert last['n2']['store'] == 'store_lost'


def test_the_commands_print_it(files):
    runner = CliRunner()
    paths = list(map(str, files))
    explained = runner.invoke(app, ['explain', '7f', *paths])
    assert explained.exit_code == 0
    assert 'not_run_no_primary' in explained.output
    assert runner.invoke(app, ['timeline', *paths]).exit_code == 0


def test_a_request_that_no_line_knows_is_told(files):
    outcome = CliRunner().invoke(app, ['explain', 'x', str(files[0])])
    assert outcome.exit_code == 9
