from cowslipfork.ids import TeamName
from cowslipfork.limits import TeamLimits


def test_a_team_at_its_limit_does_not_block_another():
    limits = TeamLimits()
    flood, quiet = TeamName('flood'), TeamName('quiet')

    with limits.admitted(flood, 1) as first:
        with limits.admitted(flood, 1) as second:
            with limits.admitted(quiet, 1) as other:
                assert (first, second, other) == (True, False, True)
        assert limits.in_flight(flood) == 1

    assert limits.in_flight(flood) == 0
