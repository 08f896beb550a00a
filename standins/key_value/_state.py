"""Revisions, transactions, leases and history of the stand-in store."""

import bisect
import collections.abc
import dataclasses
import itertools

from citronrail import errors
from citronrail import ports

MAX_VALUE_BYTES = 1024 * 1024
MAX_HISTORY_EVENTS = 20_000  # older events are compacted


@dataclasses.dataclass
class _Lease:
    ttl_s: float
    expires_at: float
    keys: set[str] = dataclasses.field(default_factory=set)


class StoreState:
    """State of the store; every method takes effect immediately.

    :param history_events: number of events kept for watches.
    """

    def __init__(self, history_events: int = MAX_HISTORY_EVENTS) -> None:
        self.revision = 1
        self.compacted_revision = 0
        self._history_events = history_events
        self._items: dict[str, ports.KeyValue] = {}
        self._history: list[ports.WatchEvent] = []
        self._versions: dict[str, list[tuple[int, ports.KeyValue | None]]] = {}
        self._leases: dict[int, _Lease] = {}
        self._lease_ids = itertools.count(7001)

    def get(self, key: str, behind: int = 0) -> ports.KeyValue | None:
        """Read a key.

        :param key: key to read.
        :param behind: number of revisions by which the read is stale.
        :returns: the value, or None if it is absent.
        """
        if not behind:
            return self._items.get(key)
        versions = self._versions.get(key, [])
        visible_revision = self.revision - behind
        index = bisect.bisect_right(
            versions, visible_revision, key=lambda v: v[0]
        )
        return versions[index - 1][1] if index else None

    def list(self, prefix: str, behind: int = 0) -> ports.Listing:
        """Read the keys under a prefix, sorted by key.

        :param prefix: first characters of the keys.
        :param behind: number of revisions by which the read is stale.
        :returns: the values and the revision they were read at.
        """
        keys = sorted(k for k in self._versions if k.startswith(prefix))
        items_read = (self.get(key, behind) for key in keys)
        items = tuple(item for item in items_read if item is not None)
        return ports.Listing(items, max(1, self.revision - behind))

    def txn(
        self,
        compares: collections.abc.Sequence[ports.Compare],
        writes: collections.abc.Sequence[ports.Put | ports.Delete],
    ) -> ports.TxnResult:
        """Apply all writes if all conditions hold.

        :param compares: conditions on the current revisions of keys.
        :param writes: writes, at most one for each key.
        :returns: whether the conditions held.
        :raises citronrail.errors.StoreValueTooLarge: if a value is too large.
        :raises citronrail.errors.LeaseLost: if a lease doesn't exist.
        """
        for write in writes:
            self._check_write(write)
        for compare in compares:
            item = self._items.get(compare.key)
            if (item.revision if item else 0) != compare.revision:
                return ports.TxnResult(False, self.revision)
        if writes:
            self._apply(writes)
        return ports.TxnResult(True, self.revision)

    def grant_lease(self, ttl_s: float, now: float) -> int:
        """Create a lease that expires ``ttl_s`` after ``now``."""
        lease_id = next(self._lease_ids)
        self._leases[lease_id] = _Lease(ttl_s, now + ttl_s)
        return lease_id

    def keep_alive(self, lease_id: int, now: float) -> float:
        """Renew a lease.

        :returns: its time to live in seconds, 0 if it has lapsed.
        """
        lease = self._leases.get(lease_id)
        if lease is None:
            return 0.0
        lease.expires_at = now + lease.ttl_s
        return lease.ttl_s

    def ttl_s(self, lease_id: int) -> float:
        """Return the time to live granted to a lease, 0 if it has lapsed."""
        lease = self._leases.get(lease_id)
        return lease.ttl_s if lease is not None else 0.0

    def revoke_lease(self, lease_id: int) -> bool:
        """End a lease and remove its keys; False if it didn't exist."""
        lease = self._leases.pop(lease_id, None)
        if lease is None:
            return False
        if lease.keys:
            self._apply([ports.Delete(key) for key in sorted(lease.keys)])
        return True

    def expire_leases(self, now: float) -> None:
        """Revoke the leases that have expired."""
        for lease_id, lease in list(self._leases.items()):
            if lease.expires_at <= now:
                self.revoke_lease(lease_id)

    def defer_leases(self, seconds: float) -> None:
        """Postpone the expiry of all leases."""
        for lease in self._leases.values():
            lease.expires_at += seconds

    def lapse_leases(self) -> None:
        """Revoke all leases before they expire."""
        for lease_id in list(self._leases):
            self.revoke_lease(lease_id)

    def next_expiry(self) -> float | None:
        """Return when the next lease expires, None without leases."""
        return min((x.expires_at for x in self._leases.values()), default=None)

    def events_from(
        self, prefix: str, revision: int
    ) -> tuple[ports.WatchEvent, ...]:
        """Return the events under a prefix from a revision on.

        :raises citronrail.errors.StoreCompacted: if some were compacted.
        """
        if revision <= self.compacted_revision:
            raise errors.StoreCompacted(
                f'revision {revision} has been compacted', step='store.watch'
            )
        start = bisect.bisect_left(
            self._history, revision, key=lambda event: event.revision
        )
        return tuple(
            event
            for event in self._history[start:]
            if event.key.startswith(prefix)
        )

    def compact(self, revision: int) -> None:
        """Drop the history up to and including a revision."""
        self.compacted_revision = max(self.compacted_revision, revision)
        self._history = [e for e in self._history if e.revision > revision]
        for key, versions in list(self._versions.items()):
            older = [v for v in versions if v[0] <= revision][-1:]
            kept = older + [v for v in versions if v[0] > revision]
            if kept[-1][1] is None and kept[-1][0] <= revision:
                del self._versions[key]
            else:
                self._versions[key] = kept

    def _check_write(self, write: ports.Put | ports.Delete) -> None:
        match write:
            case ports.Put(key, value) if len(value) > MAX_VALUE_BYTES:
                raise errors.StoreValueTooLarge(
                    f'{len(value)} bytes for {key!r} exceed 1 MB',
                    step='store.txn',
                )
            case ports.Put(key, _, lease_id) if (
                lease_id and lease_id not in self._leases
            ):
                raise errors.LeaseLost(
                    f'lease {lease_id} of {key!r} does not exist',
                    step='store.txn',
                )

    def _apply(
        self, writes: collections.abc.Sequence[ports.Put | ports.Delete]
    ) -> None:
        effective_writes = [
            write
            for write in writes
            if isinstance(write, ports.Put) or write.key in self._items
        ]
        if not effective_writes:
            return
        self.revision += 1
        for write in effective_writes:
            self._apply_one(write)
        if len(self._history) > self._history_events:
            self.compact(self._history[-self._history_events // 2].revision)

    def _apply_one(self, write: ports.Put | ports.Delete) -> None:
        old = self._items.pop(write.key, None)
        if old is not None and old.lease_id in self._leases:
            self._leases[old.lease_id].keys.discard(write.key)
        item: ports.KeyValue | None = None
        value: bytes | None = None
        if isinstance(write, ports.Put):
            value = write.value
            item = ports.KeyValue(
                write.key, value, self.revision, write.lease_id
            )
            self._items[write.key] = item
            if write.lease_id:
                self._leases[write.lease_id].keys.add(write.key)
        self._versions.setdefault(write.key, []).append((self.revision, item))
        self._history.append(ports.WatchEvent(write.key, value, self.revision))
