from cowslipfork.ids import VmId, WorkspaceName
from cowslipfork_direct.rate_limits.candidates import (
    CANDIDATE_COUNT,
    candidates_of,
    limiter_of,
)

SMALL = {VmId(f's{number}'): 0.25 for number in range(78)}
LARGE = {VmId(f'l{number}'): 2.0 for number in range(6)}


def test_nodes_with_enough_capacity_come_first():
    """Nodes with half a core would spend it on others' messages."""
    chosen = candidates_of({**SMALL, **LARGE})
    assert len(chosen) == CANDIDATE_COUNT
    assert set(chosen) <= LARGE.keys()


def test_other_nodes_follow_if_too_few_have_enough():
    chosen = candidates_of({**SMALL, VmId('l'): 2.0})
    assert VmId('l') in chosen
    assert len(chosen) == CANDIDATE_COUNT


def test_nodes_of_unknown_capacity_are_candidates_too():
    assert len(candidates_of(dict.fromkeys(SMALL, 0))) == CANDIDATE_COUNT
    assert candidates_of({}) == ()


def test_all_nodes_choose_alike_whatever_the_order_of_their_lists():
    nodes = {**SMALL, **LARGE}
    backwards = dict(reversed(nodes.items()))
    assert candidates_of(nodes) == candidates_of(backwards)


def test_workspaces_are_divided_among_the_candidates():
    usable = candidates_of(LARGE)
    limiters = [
        limiter_of(WorkspaceName(f'w{number}'), usable) for number in range(90)
    ]
    assert all(limiters.count(node) >= 15 for node in usable)


def test_the_loss_of_a_candidate_moves_only_its_workspaces():
    usable = candidates_of(LARGE)
    lost, *others = usable
    for number in range(90):
        workspace = WorkspaceName(f'w{number}')
        before = limiter_of(workspace, usable)
        after = limiter_of(workspace, others)
        assert after == before or before == lost
    assert limiter_of(WorkspaceName('w'), ()) is None
