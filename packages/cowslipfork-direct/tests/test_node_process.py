"""The end of a node's process."""

import subprocess
import sys

PROGRAM = """
from cowslipfork_direct.node_process import skip_final_collection

class Collected:
    def __del__(self):
        print('collected', flush=True)

cycle = Collected()
cycle.itself = cycle
del cycle
{last}
"""


def output_of(last):
    program = PROGRAM.format(last=last)
    done = subprocess.run(
        (sys.executable, '-c', program),
        capture_output=True,
        check=True,
        text=True,
    )
    return done.stdout


def test_the_end_of_a_process_collects_nothing():
    """Guards against a stop that lasts longer than its grace period."""
    assert output_of('skip_final_collection()') == ''
    assert output_of('') == 'collected\n'
