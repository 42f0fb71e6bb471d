from cowslipfork_proxy.carrier.carrier_statistics import Figures, ServedBy


def test_a_gap_runs_from_the_first_held_write_to_the_next_acknowledged():
    gaps = []
    clock = Figures(gaps.append).new_clock()

    clock.acknowledged(1)
    clock.held(2)
    clock.held(3)
    clock.acknowledged(4.5)
    clock.acknowledged(5)

    assert gaps == [2.5]


def test_reads_are_counted_by_who_served_them():
    figures = Figures(lambda seconds: None)
    for served_by in (ServedBy.REPLICA, ServedBy.REPLICA, ServedBy.PRIMARY):
        figures.count_read(served_by)

    assert figures.reads() == {'replica': 2, 'primary': 1}
