from cowslipfork_proxy.carrier.carrier_statistics import (
    CarrierStatistics,
    ServedBy,
)


def test_a_gap_runs_from_the_first_held_write_to_the_next_acknowledged():
    gaps = []
    gap_timer = CarrierStatistics(gaps.append).new_gap_timer()

    gap_timer.write_acknowledged(1)
    gap_timer.write_waiting(2)
    gap_timer.write_waiting(3)
    gap_timer.write_acknowledged(4.5)
    gap_timer.write_acknowledged(5)

    assert gaps == [2.5]


def test_reads_are_counted_by_who_served_them():
    statistics = CarrierStatistics(lambda seconds: None)
    for served_by in (ServedBy.REPLICA, ServedBy.REPLICA, ServedBy.PRIMARY):
        statistics.count_read(served_by)

    assert statistics.reads() == {'replica': 2, 'primary': 1}
