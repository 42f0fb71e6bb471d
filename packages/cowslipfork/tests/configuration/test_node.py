from pathlib import Path

import pytest

from cowslipfork.configuration import LogFormat, node_settings

SAMPLES = Path(__file__).parents[4] / 'samples'


@pytest.mark.parametrize('deployment', ['hilal', 'nilebean'])
def test_samples_are_right(deployment):
    settings = node_settings((SAMPLES / deployment / 'node.ini').read_text()).ok
    assert settings.vm == 'proxy-1'
    assert settings.store[1] == 2379
    assert len(settings.peers) == 2
    assert settings.log_format is LogFormat.KEY_VALUE


def test_mistakes_name_the_file():
    text = '[node]\nvm = a b\nstore = here\ncaler_port = 1\n'
    problems = node_settings(text, 'vm7.ini').error.problems
    assert {problem.file for problem in problems} == {'vm7.ini'}
    keys = [problem.key for problem in problems]
    assert keys[:3] == ['vm', 'store', 'caler_port']
    assert 'did you mean "caller_port"?' in problems[2].text


def test_an_empty_file_lacks_its_section():
    assert node_settings('').error.problems[0].section == 'node'


def test_half_a_certificate_is_a_contradiction():
    text = (SAMPLES / 'hilal' / 'node.ini').read_text()
    problems = node_settings(f'{text}peer_key = a\ntls_key = b\n').error
    assert [(p.key, p.text) for p in problems.problems] == [
        ('tls_key', 'needs tls_certificate as well'),
        ('peer_key', 'needs peer_certificate as well'),
    ]
