"""Records and messages of other nodes, however malformed."""

import asyncio

import msgspec
import pytest
from direct_fakes.world import run, world
from hypothesis import given
from hypothesis import strategies as st

from cowslipfork.store import Event
from cowslipfork_direct.decoding import decode_json, parse_whole_number
from cowslipfork_direct.era_settlement import ERA_KEY, SettledEra
from cowslipfork_direct.fleet import NODES_PREFIX, Fleet, Registered
from cowslipfork_direct.peers.codec import (
    MalformedLine,
    decode_for_client,
    decode_for_server,
)
from cowslipfork_direct.relay import Address
from cowslipfork_direct.takeover import TakeoverCache
from cowslipfork_direct.takeover.records import (
    DUTY_KEY,
    STOPPED_PREFIX,
    SUSPECTS_PREFIX,
    TAKEOVERS_PREFIX,
    Duty,
    Stopped,
    Suspicion,
    Takeover,
)

#: Deeper than Python's limit of recursion.
NESTED = b'[' * 4000 + b']' * 4000

#: More digits than Python converts to an integer.
LONG_NUMBER = b'9' * 5000

HOSTILE = [
    b'',
    b'\xff',
    b'"\xed\xa0\x80"',
    NESTED,
    b'{"unknown":' + NESTED + b'}',
    b'{"term":' + LONG_NUMBER + b'}',
    b'{"lease":' + LONG_NUMBER + b'}',
    b'{"era":' + LONG_NUMBER + b'}',
]

contents = st.sampled_from(HOSTILE) | st.binary(max_size=80)

RECORDS = (Duty, Takeover, Stopped, Suspicion, Registered, SettledEra, Address)

ENTRY = msgspec.json.encode(Registered(1, 1, Address('10.0.0.1', 7440)))


@given(st.sampled_from(RECORDS), contents)
def test_no_record_raises(record_type, content):
    decode_json(content, record_type)


@given(st.sampled_from((decode_for_client, decode_for_server)), contents)
def test_a_line_of_a_peer_is_a_frame_or_malformed(decode, line):
    try:
        decode(line)
    except MalformedLine:
        return


def entry_at(host, port):
    return ENTRY.replace(b'"10.0.0.1"', host).replace(b'7440', port)


@pytest.mark.parametrize(
    'content',
    [
        *HOSTILE,
        entry_at(b'"10.0.0.1"', b'65536'),
        entry_at(b'"10.0.0.1"', b'0'),
        entry_at(b'"10.0.0.1"', b'-1'),
        entry_at(b'"10.0.0\\u0000.1"', b'7440'),
        entry_at(b'"10.0.0.1\\r\\n"', b'7440'),
        entry_at(b'""', b'7440'),
    ],
)
def test_a_bad_registration_costs_that_node_alone(content):
    """Guards against nodes that hear of no other node any more."""
    fleet = Fleet(lambda: None)
    nodes, _ = fleet.subscriptions()
    nodes.on_events(
        [
            Event(f'{NODES_PREFIX}n1', content, 1),
            Event(f'{NODES_PREFIX}n2', ENTRY, 2),
        ]
    )
    assert set(fleet.registered) == {'n2'}


@pytest.mark.parametrize(
    'host', ['10.0.0.1', 'n1', 'a-b.example', '::1', 'fe80::1%eth0']
)
def test_a_registration_at_any_address_is_read(host):
    """Guards against nodes that a check of addresses leaves out."""
    entry = Registered(1, 1, Address(host, 65_535))
    decoded = decode_json(msgspec.json.encode(entry), Registered)
    assert decoded.ok == entry


@pytest.mark.parametrize('content', HOSTILE)
def test_a_bad_record_of_a_takeover_is_ignored(content):
    """Guards against nodes that hear of no takeover any more."""

    async def apply():
        cache = TakeoverCache(lambda _: None)
        keys = (
            DUTY_KEY,
            f'{TAKEOVERS_PREFIX}g',
            f'{STOPPED_PREFIX}g/n1',
            f'{SUSPECTS_PREFIX}g/n1',
        )
        cache.apply_events([Event(key, content, 1) for key in keys])
        good = msgspec.json.encode(Suspicion('e1', 1))
        cache.apply_events([Event(f'{SUSPECTS_PREFIX}g/n2', good, 2)])
        return set(cache.suspicions('g'))

    assert run(apply()) == {'n2'}


@pytest.mark.parametrize('content', HOSTILE)
def test_a_bad_record_of_the_era_is_ignored(content):
    async def main():
        async with world(nodes=1) as cluster:
            cluster.store.put(ERA_KEY, content)
            settlement = cluster.nodes['n1']._settlement
            await asyncio.sleep(0.1)
            return settlement.settled

    assert run(main())


@given(st.text(max_size=30) | st.just(LONG_NUMBER.decode()))
def test_a_whole_number_is_parsed_back(text):
    number = parse_whole_number(text)
    assert number is None or int(text) == number
