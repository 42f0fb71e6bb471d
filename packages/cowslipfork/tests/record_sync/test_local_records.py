import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cowslipfork.record_sync.change_log import ChangeLog
from cowslipfork.record_sync.local_records import LocalRecords, RecordRefusal
from cowslipfork.record_sync.record import (
    CONFIGURATION_KEY,
    GROUPS_PREFIX,
    VMS_PREFIX,
    RecordUnreadable,
    read_record,
)
from cowslipfork.wire import records_pb2


def configuration(revision, base='x'):
    content = records_pb2.ConfigurationRecord(revision=revision, base=base)
    return read_record(CONFIGURATION_KEY, content.SerializeToString(), 0)


def group(term, state=records_pb2.GROUP_STATE_SERVING, primary='e1'):
    content = records_pb2.GroupRecord(
        group='orders',
        term=term,
        state=state,
        primary=primary,
    )
    return read_record(f'{GROUPS_PREFIX}orders', content.SerializeToString(), 0)


def entry(revision, content=b'vm'):
    return read_record(f'{VMS_PREFIX}a', content, revision)


CLAIMED = records_pb2.GROUP_STATE_CLAIMED


@pytest.mark.parametrize(
    ('held', 'offered', 'refusal'),
    [
        (configuration(2), configuration(3), None),
        (configuration(2), configuration(1), RecordRefusal.OLDER),
        (configuration(2), configuration(2), RecordRefusal.KNOWN),
        (configuration(2), configuration(2, 'y'), RecordRefusal.DIVERGED),
        (group(2), group(1), RecordRefusal.OLDER),
        (group(2), group(3, CLAIMED), None),
        (group(3, CLAIMED), group(3), None),
        (group(3), group(3, CLAIMED), RecordRefusal.OLDER),
        (group(3), group(3, primary='e2'), RecordRefusal.DIVERGED),
        (entry(5), entry(4, None), RecordRefusal.OLDER),
        (entry(5, None), entry(4), RecordRefusal.OLDER),
        (entry(5), entry(6, None), None),
        (entry(5, None), entry(6), None),
    ],
)
def test_only_a_later_version_comes_into_force(held, offered, refusal):
    diverged = []
    local_records = LocalRecords(diverged.append)
    local_records.apply(held)
    applied = local_records.apply(offered)
    if refusal is None:
        assert applied.is_ok()
        assert local_records.get(held.key) == offered
    else:
        assert applied.error.refusal is refusal
        assert local_records.get(held.key) == held
    assert bool(diverged) is (refusal is RecordRefusal.DIVERGED)


@pytest.mark.parametrize(
    ('key', 'content'),
    [
        ('/elsewhere', b''),
        (CONFIGURATION_KEY, None),
        (CONFIGURATION_KEY, b'\xff'),
        (f'{GROUPS_PREFIX}orders', None),
    ],
)
def test_unreadable_records_have_a_type(key, content):
    with pytest.raises(RecordUnreadable):
        read_record(key, content, 1)


def test_whole_list_deletes_what_it_lacks_but_nothing_later():
    local_records = LocalRecords(print)
    local_records.apply(entry(5))
    local_records.drop_missing(VMS_PREFIX, (), 4)
    assert local_records.with_prefix(VMS_PREFIX)
    local_records.drop_missing(VMS_PREFIX, (), 7)
    assert not local_records.with_prefix(VMS_PREFIX)
    assert local_records.apply(entry(6)).is_error()


def test_change_log_gives_each_reader_each_change_once():
    log = ChangeLog()
    for key in 'abcab':
        log.note(key)
    number, keys = log.after(0, 2)
    assert keys == ['c', 'a']
    assert log.after(number, 2) == (log.last, ['b'])
    assert log.after(log.last, 2) == (log.last, [])


KEYS = [f'{VMS_PREFIX}{number}' for number in range(6)]


class SpreadMachine(RuleBasedStateMachine):
    """One store; nodes that hear it late, talk in any order and restart."""

    def __init__(self):
        super().__init__()
        self.history = []
        self.diverged = []
        self.nodes = [LocalRecords(self.diverged.append) for _ in range(4)]
        self.top = [{} for _ in self.nodes]

    @rule(key=st.sampled_from([CONFIGURATION_KEY, *KEYS]), gone=st.booleans())
    def write(self, key, gone):
        number = len(self.history) + 1
        if key == CONFIGURATION_KEY:
            self.history.append(configuration(number, f'base {number}'))
        else:
            content = None if gone else str(number).encode()
            self.history.append(read_record(key, content, number))

    @rule(node=st.integers(0, 3), data=st.data())
    def hear_store_out_of_order(self, node, data):
        if self.history:
            record = data.draw(st.sampled_from(self.history))
            self.nodes[node].apply(record)

    @rule(node=st.integers(0, 3), back=st.integers(0, 3))
    def list_store_late(self, node, back):
        seen = self.history[: max(0, len(self.history) - back)]
        latest = {record.key: record for record in seen}
        for record in latest.values():
            if record.content is not None:
                self.nodes[node].apply(record)
        present = [
            key for key, record in latest.items() if record.content is not None
        ]
        self.nodes[node].drop_missing(VMS_PREFIX, present, len(seen))

    @rule(source=st.integers(0, 3), asker=st.integers(0, 3))
    def fetch(self, source, asker):
        found, _ = self.nodes[source].differing(self.nodes[asker].digests)
        for record in found:
            self.nodes[asker].apply(record)

    @rule(node=st.integers(0, 3))
    def restart(self, node):
        self.nodes[node] = LocalRecords(self.diverged.append)
        self.top[node] = {}

    @invariant()
    def nothing_falls_back(self):
        for local_records, top in zip(self.nodes, self.top, strict=True):
            for key in [CONFIGURATION_KEY, *KEYS]:
                record = local_records.get(key)
                if key in top:
                    assert record.version >= top[key]
                if record:
                    top[key] = record.version

    @invariant()
    def one_content_for_each_version(self):
        assert not self.diverged
        contents = {}
        for local_records in self.nodes:
            for key in [CONFIGURATION_KEY, *KEYS]:
                record = local_records.get(key)
                if record:
                    known = contents.setdefault((key, record.version), record)
                    assert known == record

    def teardown(self):
        for _ in range(2):
            for source in range(4):
                for asker in range(4):
                    self.fetch(source, asker)
        assert len({local_records.digest for local_records in self.nodes}) == 1


TestSpread = SpreadMachine.TestCase
TestSpread.settings = settings(
    derandomize=True,
    max_examples=60,
    stateful_step_count=30,
)
