import pytest

from cowslipfork.store import Event
from cowslipfork_direct.newest_changes import NewestChanges


@pytest.mark.parametrize(
    ('earlier', 'later', 'admitted'),
    [
        (Event('a', b'', 2), Event('a', b'', 3), True),
        (Event('a', b'', 2), Event('a', b'', 2), True),
        (Event('a', b'', 2), Event('a', b'', 1), False),
        (Event('a', None, 2), Event('a', b'', 1), False),
        (Event('a', b'', 2), Event('a', None, 1), False),
        (Event('a', b'', 2), Event('b', b'', 1), True),
    ],
)
def test_only_changes_that_are_older_than_a_known_one_are_kept_out(
    earlier, later, admitted
):
    changes = NewestChanges()
    assert changes.admit(earlier)
    assert changes.admit(later) is admitted


def test_a_change_that_was_kept_out_is_not_remembered():
    changes = NewestChanges()
    changes.admit(Event('a', b'', 3))
    changes.admit(Event('a', b'', 1))
    assert not changes.admit(Event('a', b'', 2))


def test_revisions_start_anew_with_a_restored_store():
    changes = NewestChanges()
    changes.admit(Event('a', b'', 9))
    changes.clear()
    assert changes.admit(Event('a', b'', 1))
