import pytest

from cowslipfork.configuration import direct_settings
from cowslipfork_direct.settings_reloader import SettingsReloader

TEXT = """
[node]
vm = n1
failure_domain = a
callers = 10.1.0.8:8784
readiness = 10.1.0.8:8785
metrics = 10.1.0.8:9464
relay = 10.1.0.8:7440
store = 10.200.1.7:8783
promotions = 10.200.0.160:8783
grace = 6s
"""


@pytest.fixture
def path(tmp_path):
    file = tmp_path / 'node.ini'
    file.write_text(TEXT)
    return file


@pytest.fixture
def applied():
    return []


@pytest.fixture
def settings_reloader(path, applied):
    return SettingsReloader(path, direct_settings(TEXT).ok, applied.append)


def test_an_unchanged_file_is_not_applied(settings_reloader, applied):
    settings_reloader.reload_if_changed()
    assert applied == []


def test_a_changed_file_is_applied(settings_reloader, applied, path):
    path.write_text(TEXT.replace('6s', '9s'))
    settings_reloader.reload_if_changed()
    assert settings_reloader.settings.grace == 9
    assert applied == [settings_reloader.settings]


def test_an_invalid_file_changes_nothing(
    settings_reloader, applied, path, caplog
):
    path.write_text(TEXT.replace('6s', 'soon'))
    settings_reloader.reload_if_changed()
    assert settings_reloader.settings.grace == 6
    assert applied == []
    assert 'settings_refused' in caplog.text


def test_a_missing_file_changes_nothing(settings_reloader, applied, path):
    path.unlink()
    settings_reloader.reload_if_changed()
    assert applied == []


def test_settings_that_need_a_restart_are_logged(
    settings_reloader, path, caplog
):
    path.write_text(TEXT.replace('10.200.1.7', '10.200.1.8'))
    settings_reloader.reload_if_changed()
    assert caplog.records[-1].after_restart == 'store'
