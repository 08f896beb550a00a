"""The platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import contextlib
import json
import time
import urllib.parse

import http1

ANSWER_S = 0.004
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
MAX_KEY_BYTES = 200
MAX_ENTRIES = 32


class Rate:
    """Accepts so many calls a second."""

    def __init__(self, per_s):
        self.per_s = per_s
        self.left = per_s
        self.at = time.monotonic()

    def take(self, price=1.0):
        now = time.monotonic()
        self.left = min(self.per_s, self.left + (now - self.at) * self.per_s)
        self.at = now
        if self.left < price:
            return False
        self.left -= price
        return True


class Store:
    """Keys with revisions, leases and a history of 20 s."""

    def __init__(
        self, writes_per_s=400, reads_per_s=2000, value_bytes=1 << 20
    ):
        self.items = {}  # key -> item
        self.revision = 7
        self.history = []  # (revision, time, event)
        self.dropped = 0  # newest revision that left the history
        self.leases = {}  # id -> (end, ttl in s)
        self.next_lease = 100
        self.history_s = 20.0
        self.value_bytes = value_bytes
        self.writes = Rate(writes_per_s)
        self.reads = Rate(reads_per_s)
        self.changed = asyncio.Event()
        self.refused_values = 0
        self.busy = False  # answers 503 and does nothing; leases pause

    # Operator

    def put(self, key, document):
        """Write a document as the operator does."""
        self._put(
            key, base64.b64encode(json.dumps(document).encode()).decode(), 0
        )

    def get(self, key):
        """Return the bytes of a value, None if it is absent."""
        item = self.items.get(key)
        return None if item is None else base64.b64decode(item['value'])

    # State

    def _next(self):
        self.revision += 1
        return self.revision

    def _record(self, event):
        now = time.monotonic()
        self.history.append((event['rev'], now, event))
        while self.history and now - self.history[0][1] > self.history_s:
            self.dropped = self.history.pop(0)[0]
        self.changed.set()
        self.changed = asyncio.Event()

    def _put(self, key, value, lease, rev=None):
        rev = rev or self._next()
        old = self.items.get(key)
        item = {
            'key': key,
            'value': value,
            'rev': rev,
            'created': old['created'] if old else rev,
            'lease': lease,
        }
        self.items[key] = item
        self._record(dict(item))

    def _remove(self, key, rev=None):
        if self.items.pop(key, None) is not None:
            rev = rev or self._next()
            self._record({'key': key, 'rev': rev, 'removed': True})

    def _end_lease(self, lease):
        del self.leases[lease]
        for key in [k for k, i in self.items.items() if i['lease'] == lease]:
            self._remove(key)

    async def run(self):
        """End leases whose time is over, until cancelled."""
        last_at = time.monotonic()
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease, (end, ttl_s) in list(self.leases.items()):
                if self.busy:
                    self.leases[lease] = (end + now - last_at, ttl_s)
                elif now > end:
                    self._end_lease(lease)
            last_at = now

    # Calls

    async def handle(self, req):
        name = req.path.split('/')[1]
        await asyncio.sleep(ANSWER_S)
        if self.busy:
            return 503, {}
        price = 0.1 if name == 'kv-keep' else 1.0
        is_write = name in ('kv-txn', 'kv-lease', 'kv-lease-end')
        if not (self.writes if is_write else self.reads).take(price):
            return 429, {}
        call = {
            'kv-key': self._key,
            'kv-range': self._range,
            'kv-txn': self._txn,
            'kv-lease': self._grant,
            'kv-keep': self._keep,
            'kv-lease-end': self._lease_end,
        }.get(name)
        if name == 'kv-watch':
            return await self._watch(req)
        return (404, {}) if call is None else call(req)

    def _key(self, req):
        item = self.items.get(req.query['key'])
        if item is None:
            return 404, {}
        return 200, {**item, 'asOf': self.revision}

    def _range(self, req):
        prefix, after = req.query['prefix'], req.query.get('after', '')
        keys = sorted(
            k for k in self.items if k.startswith(prefix) and k > after
        )
        page, size = [], 0
        for key in keys:
            size += len(self.items[key]['value'])
            if page and (size > PAGE_BYTES or len(page) >= PAGE_ITEMS):
                break
            page.append(self.items[key])
        return 200, {
            'items': page,
            'hasMore': len(page) < len(keys),
            'asOf': self.revision,
        }

    async def _watch(self, req):
        prefix, after = req.query['prefix'], int(req.query['after'])
        ends_at = time.monotonic() + int(req.query['waitMs']) / 1000
        while True:
            if after < self.dropped:
                return 410, {}
            found = [
                event
                for rev, _, event in self.history
                if rev > after and event['key'].startswith(prefix)
            ]
            if self.busy:
                return 503, {}
            left_s = ends_at - time.monotonic()
            if found or left_s <= 0:
                return 200, {'events': found, 'asOf': self.revision}
            changed = self.changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)

    def _txn(self, req):
        body = req.json()
        expected = body.get('expectedRev', [])
        puts, deletes = body.get('puts', []), body.get('deletes', [])
        if len(expected) + len(puts) + len(deletes) > MAX_ENTRIES:
            return 400, {'error': 'too many entries'}
        for key in [put['key'] for put in puts] + deletes:
            if len(key.encode()) > MAX_KEY_BYTES:
                return 400, {'error': 'the key is too long'}
            if key.startswith(('op/', 'servers/')):
                return 403, {}
        for put in puts:
            if len(base64.b64decode(put['value'])) > self.value_bytes:
                self.refused_values += 1
                return 400, {'error': 'the value is too long'}
        for put in puts:
            if put.get('lease') and put['lease'] not in self.leases:
                return 404, {}
        current = [self.items.get(row['key']) for row in expected]
        if any(
            row['rev'] != (item['rev'] if item else 0)
            for row, item in zip(expected, current)
        ):
            return 412, {'items': [item for item in current if item]}
        rev = self._next()
        for put in puts:
            self._put(put['key'], put['value'], put.get('lease', 0), rev)
        for key in deletes:
            self._remove(key, rev)
        return 200, {'rev': rev}

    def _grant(self, req):
        ttl_ms = min(600_000, max(1000, req.json()['ttlMs']))
        self.next_lease += 1
        ttl_s = ttl_ms / 1000
        self.leases[self.next_lease] = (time.monotonic() + ttl_s, ttl_s)
        return 200, {'lease': self.next_lease, 'ttlMs': ttl_ms}

    def _keep(self, req):
        lease = int(req.path.split('/')[2])
        if lease not in self.leases:
            return 404, {}
        ttl_s = self.leases[lease][1]
        self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        return 200, {'ttlMs': round(ttl_s * 1000)}

    def _lease_end(self, req):
        lease = int(req.path.split('/')[2])
        if lease not in self.leases:
            return 404, {}
        self._end_lease(lease)
        return 200, {}

    async def serve(self, address):
        """Serve at ``IP:PORT`` and end leases, until cancelled."""
        host, _, port = address.rpartition(':')
        await http1.serve(self.handle, host, int(port))
        await self.run()


def quote(key):
    """Quote a key for a query."""
    return urllib.parse.quote(key, safe='')
