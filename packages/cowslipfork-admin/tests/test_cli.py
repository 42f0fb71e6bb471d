"""The command line against a node's API on a fake store."""

import asyncio
import hashlib
import sys

import grpc
import pytest

from cowslipfork.changes import ConfigurationHistory
from cowslipfork.configuration import (
    Configuration,
    parse_configuration,
)
from cowslipfork.ids import SiteName, VmId
from cowslipfork.store.memory import Fault, MemoryStore
from cowslipfork.wire import admin_pb2, admin_pb2_grpc
from cowslipfork_admin.cli import main
from cowslipfork_admin.exit_code import ExitCode
from cowslipfork_proxy.administration import AdminDependencies, AdminService

HASHES = {
    name: hashlib.sha256(name.encode()).hexdigest()
    for name in ('ada', 'screen', 'first')
}
BASE = f"""[limits]
hold = 200
[operator ada]
token_hash = {HASHES['ada']}
role = operator
[operator screen]
token_hash = {HASHES['screen']}
role = viewer
"""
OVERLAY = '[site]\nregion = punjab\nfailure_domains = lahore-a\n'
WHY = ('--reason', 'why not')


class Node:
    def __init__(self):
        self.store = MemoryStore()
        self.changes = ConfigurationHistory(
            self.store, lambda: 1_700_000_000_000
        )
        self.lagging = {}

    def configuration(self):
        entry = self.store._entries.get('/cowslipfork/configuration/current')
        if entry is None:
            return Configuration(None)
        return parse_configuration(BASE, OVERLAY, SiteName('punjab')).ok

    def status(self):
        revisions = {'proxy-1': 1, 'proxy-2': 1, **self.lagging}
        return admin_pb2.StatusReply(
            vm='proxy-1',
            revision=1,
            nodes=[
                admin_pb2.NodeStatus(vm=vm, revision=revision, state='live')
                for vm, revision in revisions.items()
            ],
            groups=[
                admin_pb2.GroupStatus(
                    group='orders',
                    term=3,
                    endpoints=[
                        admin_pb2.EndpointStatus(endpoint='a', age_seconds=-1),
                    ],
                ),
            ],
            cannot=['promotions: the store is down'],
        )

    async def drain(self):
        self.drained = True

    def admin_stub_for(self, vm):
        return None


@pytest.fixture
def folder(tmp_path):
    folder = tmp_path / 'configuration'
    folder.mkdir()
    (folder / 'base.ini').write_text(BASE)
    (folder / 'punjab.ini').write_text(OVERLAY)
    (folder / 'node.ini').write_text('not an overlay')
    return folder


@pytest.fixture
async def served(monkeypatch):
    node = Node()
    dependencies = AdminDependencies(
        VmId('proxy-1'),
        node.store,
        node.changes,
        node.configuration,
        node.status,
        node.drain,
        node.admin_stub_for,
        HASHES['first'],
    )
    server = grpc.aio.server()
    admin_pb2_grpc.add_AdminServicer_to_server(
        AdminService(dependencies), server
    )
    port = server.add_insecure_port('127.0.0.1:0')
    await server.start()
    monkeypatch.setenv('COWSLIPFORK_NODE', f'127.0.0.1:{port}')
    monkeypatch.setenv('COWSLIPFORK_TOKEN', 'ada')
    try:
        yield node
    finally:
        await server.stop(None)


@pytest.fixture
def run(monkeypatch, capsys):
    """Runs a command as its binary would; gives exit code and output."""

    async def command(*arguments):
        line = ['cowslipfork', *map(str, arguments)]
        monkeypatch.setattr(sys, 'argv', line)
        with pytest.raises(SystemExit) as ended:
            await asyncio.to_thread(main)
        out, err = capsys.readouterr()
        return ended.value.code or ExitCode.OK, out + err

    return command


@pytest.fixture
async def first(served, run, folder, monkeypatch):
    """Accepts the first configuration."""
    monkeypatch.setenv('COWSLIPFORK_TOKEN', 'first')
    accepted = ('config', 'accept', folder, '--expected', 0, *WHY)
    code, _ = await run(*accepted)
    assert code == ExitCode.OK
    monkeypatch.setenv('COWSLIPFORK_TOKEN', 'ada')
    return served


def edit(folder, hold):
    path = folder / 'base.ini'
    path.write_text(BASE.replace('hold = 200', f'hold = {hold}'))


async def test_check_needs_no_node(run, folder):
    code, output = await run('config', 'check', folder)
    assert (code, output) == (ExitCode.OK, 'ok: 1 sites\n')
    edit(folder, 'many')
    code, output = await run('config', 'check', folder)
    assert code == ExitCode.PROBLEMS
    assert output == "base: [limits] hold: 'many' is no whole number\n"


async def test_accept_waits_until_all_have_it(first, run, folder):
    edit(folder, 300)
    first.lagging = {'proxy-3': 1}
    command = ('config', 'accept', folder, *WHY, '--wait', '--timeout', '0')
    code, output = await run(*command)
    assert code == ExitCode.NOT_IN_FORCE
    assert 'these VMs lack it: proxy-1, proxy-2, proxy-3' in output
    assert (folder / 'revision').read_text() == '2\n'


async def test_accept_names_the_number_of_vms(served, run, folder):
    command = ('config', 'accept', folder, *WHY, '--wait', '--expected', 0)
    code, output = await run('--token-file', folder / 'absent', *command)
    assert code == ExitCode.USAGE
    (folder / 'token').write_text('first\n')
    code, output = await run('--token-file', folder / 'token', *command)
    assert code == ExitCode.OK
    assert 'accepted as revision 1\nin force on 2 VMs' in output


async def test_the_slower_operator_hears_of_the_conflict(first, run, folder):
    edit(folder, 300)
    assert (await run('config', 'accept', folder, *WHY))[0] == ExitCode.OK
    edit(folder, 400)
    command = ('config', 'accept', folder, *WHY, '--expected', 1)
    code, output = await run(*command)
    assert code == ExitCode.CONFLICT
    assert 'revision 2 of ada' in output
    assert '+[limits] hold = 300' in output


async def test_an_open_change_is_repeated_under_its_id(first, run, folder):
    edit(folder, 300)
    first.store.fail_once(Fault.LATE_WRITE)
    command = ('config', 'accept', folder, *WHY, '--timeout', '0')
    code, output = await run(*command)
    assert code == ExitCode.UNCERTAIN
    change_id = output.split()[1]
    assert f'--change-id {change_id}' in output
    first.store.apply_late_writes()
    repeated = await run(*command, '--change-id', change_id)
    assert repeated[0] == ExitCode.OK
    assert first.store.calls['swap'] == 2


async def test_rollback_is_a_new_revision(first, run, folder):
    edit(folder, 300)
    await run('config', 'accept', folder, *WHY)
    code, output = await run('config', 'rollback', 1, '--reason', 'too much')
    assert (code, 'revision 3' in output) == (ExitCode.OK, True)
    code, output = await run('config', 'diff', '--revision', 1, '--to', 3)
    assert output == 'no difference\n'
    code, output = await run('config', 'history', '--limit', 1)
    assert 'revision 3  2023-11-14 22:13:20+00:00  ada' in output
    assert '+[limits] hold = 200' in output
    code, output = await run('config', 'history', '--json', '--limit', 1)
    assert output.startswith('{"revision": "3"')
    assert '--before 3' in output


async def test_show_writes_files_that_can_be_accepted(first, run, tmp_path):
    code, output = await run('config', 'show')
    assert '# --- overlay punjab' in output
    copy = tmp_path / 'copy'
    assert (await run('config', 'show', '--into', copy))[0] == ExitCode.OK
    edit(copy, 300)
    code, output = await run('config', 'diff', copy)
    assert '+[limits] hold = 300' in output
    assert (await run('config', 'accept', copy, *WHY))[0] == ExitCode.OK


async def test_a_viewer_sees_no_secrets_and_no_false_difference(
    first,
    run,
    folder,
    monkeypatch,
):
    monkeypatch.setenv('COWSLIPFORK_TOKEN', 'screen')
    code, output = await run('config', 'show')
    assert HASHES['ada'] not in output
    code, output = await run('config', 'diff', folder)
    assert output == 'no difference\n'


async def test_status_names_vms_that_lack_the_revision(first, run):
    first.lagging = {'proxy-3': 0}
    code, output = await run('status')
    assert code == ExitCode.OK
    assert 'lack revision 1: proxy-3\n' in output
    assert 'cannot: promotions: the store is down\n' in output
    assert 'group orders: term 3, primary none, carrier none' in output


@pytest.mark.parametrize(
    ('token', 'arguments', 'code'),
    [
        ('ada', ('drain', 'proxy-1'), ExitCode.OK),
        ('ada', ('drain', 'proxy-9'), ExitCode.NOT_FOUND),
        ('screen', ('drain', 'proxy-1'), ExitCode.DENIED),
        ('stranger', ('status',), ExitCode.DENIED),
        ('', ('status',), ExitCode.USAGE),
        ('ada', ('config', 'show', '--revision', '9'), ExitCode.NOT_FOUND),
        ('ada', ('config', 'check', 'nowhere'), ExitCode.USAGE),
        ('ada', ('config', 'accept'), ExitCode.USAGE),
        ('ada', ('--node', '127.0.0.1:1', 'status'), ExitCode.UNAVAILABLE),
    ],
)
async def test_exit_codes(first, run, monkeypatch, token, arguments, code):
    monkeypatch.setenv('COWSLIPFORK_TOKEN', token)
    assert (await run(*arguments))[0] == code


async def test_a_store_that_is_down_is_no_acceptance(first, run, folder):
    first.store.fail(Fault.DOWN)
    command = ('config', 'accept', folder, *WHY, '--timeout', '0')
    code, output = await run(*command)
    assert code == ExitCode.UNAVAILABLE
    assert 'not accepted' in output


async def test_credentials_match_their_hashes(run, monkeypatch):
    _, output = await run('token', 'new')
    words = output.split()
    assert hashlib.sha256(words[1].encode()).hexdigest() == words[-1]
    monkeypatch.setenv('COWSLIPFORK_PASSWORD', 'secret')
    _, output = await run('password', 'hash')
    # MySQL: SELECT PASSWORD('secret') without its star, in lower case.
    expected = '14e65567abdb5135d0cfd9a70b3032c179a49ee7'
    assert output == f'password_hash = {expected}\n'
