"""The platform's metadata store: items, transactions, watches, leases."""

from __future__ import annotations

import asyncio
import json
from base64 import b64decode, b64encode

#: Seconds that an answer of the store takes.
ANSWER_TIME = 0.004

#: Most items in a page.
PAGE = 500


class Store:
    """Linearizable: each call takes effect at once, when it arrives."""

    def __init__(self):
        self.revision = 10
        self.items = {}
        self._history = []
        self._leases = {}
        self._next_lease = 100
        self._changed = asyncio.Event()
        #: Called after each change with key, value (None: removed), revision.
        self.on_change = lambda key, value, revision: None
        #: Returns the seconds that the answer to a call takes.
        self.answer_time = lambda method, path, body: ANSWER_TIME

    async def start(self):
        self._expiry = asyncio.create_task(self._expire())

    def close(self):
        self._expiry.cancel()

    def put(self, key, value, lease=0):
        """Writes as the operator or a server does."""
        self._apply([(key, value, lease)])

    def _apply(self, changes):
        self.revision += 1
        for key, value, lease in changes:
            if value is None:
                self.items.pop(key, None)
            else:
                created = self.items.get(key, {}).get('created', self.revision)
                self.items[key] = {
                    'key': key,
                    'value': b64encode(value).decode(),
                    'revision': self.revision,
                    'created': created,
                    'lease': lease,
                }
            self._history.append((self.revision, key, value, lease))
            self.on_change(key, value, self.revision)
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()
        return self.revision

    async def handle(self, method, path, query, headers, body):
        fields = json.loads(body) if body else {}
        verb, _, last = path.strip('/').partition('/')
        answer = await getattr(self, '_' + verb.replace('-', '_'))(
            query, fields, last
        )
        await asyncio.sleep(self.answer_time(method, path, body))
        return answer

    async def _kv_key(self, query, *_):
        item = self.items.get(query['key'])
        if item is None:
            return 404, {'currentRev': self.revision}
        return 200, {**item, 'currentRev': self.revision}

    async def _kv_range(self, query, *_):
        after = query.get('after', '')
        keys = sorted(
            key for key in self.items
            if key.startswith(query.get('prefix', '')) and key > after
        )
        return 200, {
            'items': [self.items[key] for key in keys[:PAGE]],
            'hasMore': len(keys) > PAGE,
            'currentRev': self.revision,
        }

    async def _kv_watch(self, query, *_):
        prefix, after = query.get('prefix', ''), int(query['after'])
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query['waitMs']) / 1000
        while True:
            events = [
                self._event(change) for change in self._history
                if change[0] > after and change[1].startswith(prefix)
            ]
            if events or loop.time() >= until:
                return 200, {'events': events, 'currentRev': self.revision}
            changed = self._changed
            try:
                async with asyncio.timeout_at(until):
                    await changed.wait()
            except TimeoutError:
                pass

    def _event(self, change):
        revision, key, value, lease = change
        if value is None:
            return {'key': key, 'revision': revision, 'removed': True}
        return {
            'key': key,
            'value': b64encode(value).decode(),
            'revision': revision,
            'created': revision,
            'lease': lease,
        }

    async def _kv_txn(self, _, fields, __):
        rows = fields.get('expectedRev', [])
        for row in rows:
            item = self.items.get(row['key'])
            if (item['revision'] if item else 0) != row['revision']:
                items = [self.items.get(one['key']) for one in rows]
                return 412, {'items': [one for one in items if one]}
        changes = [
            (put['key'], b64decode(put['value']), put.get('lease', 0))
            for put in fields.get('puts', [])
        ]
        if any(lease and lease not in self._leases for *_, lease in changes):
            return 404, None
        changes += [(key, None, 0) for key in fields.get('deletes', [])]
        return 200, {'revision': self._apply(changes)}

    async def _kv_lease(self, _, fields, __):
        self._next_lease += 1
        ttl = fields['ttlMs'] / 1000
        self._leases[self._next_lease] = [ttl, self._now() + ttl]
        return 200, {'lease': self._next_lease, 'ttlMs': fields['ttlMs']}

    async def _kv_keep(self, _, __, lease):
        known = self._leases.get(int(lease))
        if known is None:
            return 404, None
        known[1] = self._now() + known[0]
        return 200, {'ttlMs': round(known[0] * 1000)}

    async def _kv_lease_end(self, _, __, lease):
        if int(lease) not in self._leases:
            return 404, None
        self._end_lease(int(lease))
        return 200, None

    def _end_lease(self, lease):
        self._leases.pop(lease)
        keys = [key for key, item in self.items.items()
                if item['lease'] == lease]
        if keys:
            self._apply([(key, None, 0) for key in keys])

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            ended = [lease for lease, (_, until) in self._leases.items()
                     if until < self._now()]
            for lease in ended:
                self._end_lease(lease)

    def _now(self):
        return asyncio.get_running_loop().time()
