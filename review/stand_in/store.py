"""The platform's metadata store."""

import asyncio
import json
from base64 import b64decode, b64encode

from stand_in.http import LOST, HttpServer

#: Seconds that the store takes for an answer.
ANSWER_TIME = 0.004

#: Most items in one page of a range.
PAGE = 500


class Store:
    """Keys with revisions, leases and watches.

    ``lose`` may be set to a function of the calling node, the path and the
    answer; where it returns true, the answer is lost. ``late`` may be set to a
    function of the calling node and a transaction's fields; where it returns
    seconds, the call gets no answer and is executed after that time.
    """

    def __init__(self, record):
        self._record = record
        self.http = HttpServer(self._handle)
        self.revision = 100
        self.items = {}
        self.history = []
        self.lose = None
        self.late = None
        #: Whether the store answers nothing at all.
        self.down = False
        self._leases = {}
        self._next_lease = 7000
        self._changed = asyncio.Event()
        self._expiry = asyncio.ensure_future(self._expire())

    def close(self):
        self._expiry.cancel()
        self.http.close()

    def write(self, puts=(), deletes=()):
        """Writes keys in one revision: key, content and lease each."""
        self.revision += 1
        for key, content, lease in puts:
            created = self.items[key][2] if key in self.items else self.revision
            self.items[key] = (content, self.revision, created, lease)
            self.history.append((self.revision, key, content))
        for key in deletes:
            if self.items.pop(key, None) is not None:
                self.history.append((self.revision, key, None))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return self.revision

    def put(self, key, content):
        """Writes one key, as the operator and the servers do."""
        return self.write([(key, content, 0)])

    def delete(self, key):
        return self.write((), [key])

    async def _handle(self, node, method, path, query, headers, body):
        if self.down:
            return LOST
        await asyncio.sleep(ANSWER_TIME)
        fields = json.loads(body) if body else {}
        _, name, *rest = path.split('/')
        if name == 'kv-key':
            answer = self._key(query)
        elif name == 'kv-range':
            answer = self._range(query)
        elif name == 'kv-watch':
            answer = await self._watch(query)
        elif name == 'kv-txn':
            delay = None if self.late is None else self.late(node, fields)
            if delay is not None:
                self._record.note('no answer', node, path, f'executed in {delay} s')
                asyncio.get_running_loop().call_later(delay, self._execute, fields)
                return LOST
            answer = self._txn(fields)
        elif name == 'kv-lease':
            self._next_lease += 1
            self._leases[self._next_lease] = [fields['ttlMs'] / 1000, _now()]
            answer = 200, {'lease': self._next_lease, 'ttlMs': fields['ttlMs']}
        elif name == 'kv-keep':
            answer = self._keep(int(rest[0]))
        elif name == 'kv-lease-end':
            known = int(rest[0]) in self._leases
            self._end(int(rest[0]))
            answer = (200 if known else 404), None
        else:
            answer = 404, None
        if self.down:
            return LOST
        if self.lose is not None and self.lose(node, path, answer):
            self._record.note('answer lost', node, path)
            return LOST
        return answer

    def _key(self, query):
        key = query['key']
        if key not in self.items:
            return 404, {'currentRev': self.revision}
        return 200, {**self._item(key), 'currentRev': self.revision}

    def _item(self, key):
        content, revision, created, lease = self.items[key]
        return {
            'key': key,
            'value': b64encode(content).decode(),
            'revision': revision,
            'created': created,
            'lease': lease,
        }

    def _range(self, query):
        prefix, after = query.get('prefix', ''), query.get('after', '')
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        return 200, {
            'items': [self._item(key) for key in keys[:PAGE]],
            'hasMore': len(keys) > PAGE,
            'currentRev': self.revision,
        }

    async def _watch(self, query):
        prefix, after = query.get('prefix', ''), int(query['after'])
        until = _now() + int(query['waitMs']) / 1000
        while True:
            events = [
                one
                for one in self.history
                if one[0] > after and one[1].startswith(prefix)
            ]
            if events or _now() >= until:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), until - _now())
            except asyncio.TimeoutError:
                continue
        return 200, {
            'events': [
                {'key': key, 'revision': revision, 'removed': True}
                if content is None
                else {
                    'key': key,
                    'revision': revision,
                    'created': revision,
                    'lease': 0,
                    'value': b64encode(content).decode(),
                }
                for revision, key, content in events
            ],
            'currentRev': self.revision,
        }

    def _txn(self, fields):
        puts, deletes = fields.get('puts', ()), fields.get('deletes', ())
        keys = [put['key'] for put in puts] + list(deletes)
        if any(key.startswith(('op/', 'servers/')) for key in keys):
            return 403, None
        compared = [row['key'] for row in fields.get('expectedRev', ())]
        for row in fields.get('expectedRev', ()):
            known = self.items.get(row['key'])
            if (known[1] if known else 0) != row['revision']:
                present = [self._item(key) for key in compared if key in self.items]
                return 412, {'items': present}
        leases = {put.get('lease') or 0 for put in puts} - {0}
        if not leases <= self._leases.keys():
            return 404, None
        revision = self.write(
            [(put['key'], b64decode(put['value']), put.get('lease') or 0) for put in puts],
            deletes,
        )
        return 200, {'revision': revision}

    def _execute(self, fields):
        status, _ = self._txn(fields)
        self._record.note('late call executed', status, json.dumps(fields)[:120])

    def _keep(self, lease):
        if lease not in self._leases:
            return 404, None
        self._leases[lease][1] = _now()
        return 200, {'ttlMs': round(self._leases[lease][0] * 1000)}

    def _end(self, lease):
        if self._leases.pop(lease, None) is None:
            return
        owned = [key for key, item in self.items.items() if item[3] == lease]
        if owned:
            self.write((), owned)

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            for lease, (ttl, kept) in tuple(self._leases.items()):
                if _now() > kept + ttl:
                    self._end(lease)


def _now():
    return asyncio.get_running_loop().time()
