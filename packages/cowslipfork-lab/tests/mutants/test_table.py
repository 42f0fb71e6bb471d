"""Each mutant changes one place of the code as it is now."""

from operator import attrgetter
from pathlib import Path

import pytest

from cowslipfork_lab.mutants.table import MUTANTS

ROOT = Path(__file__).parents[4]


@pytest.mark.parametrize('mutant', MUTANTS, ids=attrgetter('mechanism'))
def test_a_mutant_finds_its_text_once(mutant):
    """Guards against mutants that no longer switch anything off."""
    assert (ROOT / mutant.path).read_text().count(mutant.text) == 1
    paths = [word for word in mutant.tests.split() if not word.startswith('-')]
    assert all((ROOT / path).exists() for path in paths)
