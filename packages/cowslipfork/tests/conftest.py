import pytest
from hypothesis import find
from hypothesis import strategies as st

BASE = """
[class lookup]
weight = 10
queue = 400
deadline = {deadline}ms

[operator ada]
token_hash = {token}
role = operator
"""

OVERLAY = """
[site]
region = punjab
failure_domains = lahore-a
"""


@pytest.fixture(scope='session')
def base_text():
    """Makes a valid base file that differs by its number."""

    def make(number=2000):
        return BASE.format(deadline=number, token='a' * 64)

    return make


@pytest.fixture(scope='session')
def overlay_text():
    return OVERLAY


@pytest.fixture(scope='session', autouse=True)
def character_table():
    """Has Hypothesis make its table of characters before a test draws text.

    Without the copy that an earlier run leaves, that takes seconds, which would
    count as the time in which a test's inputs are generated.
    """
    find(st.text(), lambda _: True)
