"""What a node reads of the store besides its own records."""

from expression import Ok

from cowslipfork.ids import Revision
from cowslipfork.store import Event
from cowslipfork_direct.metrics import Metrics
from cowslipfork_direct.routes import RoutingTable
from cowslipfork_direct.subscriptions import (
    StoreSchema,
    configuration_subscription,
)
from cowslipfork_direct.view import View

KEY = 'op/config'


def revision_after(*events):
    """Returns the revision in force after the events of one answer."""
    schema = StoreSchema(
        KEY,
        'servers/',
        lambda content: Ok(RoutingTable(Revision(int(content)))),
        None,
    )
    view = View(None, list, Metrics(), lambda _: None)
    configuration_subscription(schema, view).on_events(events)
    return view.table.revision


def test_the_last_of_several_configurations_is_in_force():
    assert revision_after(Event(KEY, b'3', 1), Event(KEY, b'5', 2)) == 5


def test_a_key_with_a_longer_name_is_not_taken_for_the_configuration():
    """Guards against a change that is lost beside another record."""
    other = Event(f'{KEY}-draft', b'7', 2)
    assert revision_after(Event(KEY, b'3', 1), other) == 3
    assert revision_after(other) == 0
