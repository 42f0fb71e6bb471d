"""Messages of the etcd v3 API to and from the store port's types."""

from __future__ import annotations

from collections.abc import Sequence

from aetcd import rpc

from cowslipfork.store.port import Compare, Entry, Event, Put


def prefix_range(prefix: str, limit: int) -> rpc.RangeRequest:
    """Asks for the first keys below a prefix, in the order of keys."""
    return rpc.RangeRequest(
        key=prefix.encode(),
        range_end=_end(prefix),
        limit=limit,
    )


def after(key: bytes) -> bytes:
    """Names the first possible key behind another."""
    return b'%b\0' % key


def transaction(
    compares: Sequence[Compare],
    puts: Sequence[Put],
) -> rpc.TxnRequest:
    """Writes all puts if all compares hold."""
    return rpc.TxnRequest(
        compare=[
            rpc.Compare(
                result=rpc.Compare.EQUAL,
                target=rpc.Compare.MOD,
                key=compare.key.encode(),
                mod_revision=compare.revision,
            )
            for compare in compares
        ],
        success=[_operation(put) for put in puts],
    )


def watch_request(prefix: str, revision: int) -> rpc.WatchRequest:
    """Watches a prefix for changes later than a store revision."""
    return rpc.WatchRequest(
        create_request=rpc.WatchCreateRequest(
            key=prefix.encode(),
            range_end=_end(prefix),
            start_revision=revision + 1,
        ),
    )


def entry(pair: rpc.KeyValue) -> Entry:
    """Turns a key-value pair into an entry."""
    return Entry(pair.key.decode(), pair.value, pair.mod_revision)


def event(change: rpc.Event) -> Event:
    """Turns a watched change into an event."""
    deleted = change.type == rpc.Event.DELETE
    return Event(
        change.kv.key.decode(),
        None if deleted else change.kv.value,
        change.kv.mod_revision,
    )


def _operation(put: Put) -> rpc.RequestOp:
    key = put.key.encode()
    if put.content is None:
        return rpc.RequestOp(
            request_delete_range=rpc.DeleteRangeRequest(key=key),
        )
    return rpc.RequestOp(
        request_put=rpc.PutRequest(key=key, value=put.content),
    )


def _end(prefix: str) -> bytes:
    """Names the first key behind all keys of an ASCII prefix."""
    return (prefix[:-1] + chr(ord(prefix[-1]) + 1)).encode()
