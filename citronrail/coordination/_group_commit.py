"""A stored document with group commit."""

import collections.abc
import dataclasses
import random
import typing

import trio

from citronrail.coordination import _store_calls
from citronrail import errors
from citronrail.model import codec
from citronrail.model import identifiers
from citronrail import observability
from citronrail.observability.catalogue import coordination as events
from citronrail import ports

COMMIT_INTERVAL_S = 0.2
RETRY_S = 0.1
MAX_DOCUMENT_BYTES = 1000 * 1000  # below the store's limit of 1 MB
WARNING_FRACTION = 0.7  # warns operators before the document is full
MAX_PENDING_CHANGES = 20_000

T = typing.TypeVar('T')


@dataclasses.dataclass(frozen=True)
class Envelope:
    """Stored form; ``body`` is the document encoded as MessagePack."""

    fencing: identifiers.FencingToken
    commit_id: str
    body: bytes


@dataclasses.dataclass(frozen=True)
class CommitScope:
    """Ownership under which a document is written.

    :param guard: condition of every commit; fails once fenced.
    :param fencing: fencing token of the owner.
    :param holds: returns whether the ownership is valid by the local clock.
    """

    guard: ports.Compare
    fencing: identifiers.FencingToken
    holds: collections.abc.Callable[[], bool]


class _PendingChange(typing.Generic[T]):
    """A queued change and its outcome."""

    def __init__(self, change: collections.abc.Callable[[T], T]) -> None:
        self.change = change
        self.settled = trio.Event()
        self.value: T | None = None
        self.error: Exception | None = None

    def fail(self, exc: Exception) -> None:
        self.error = exc
        self.settled.set()


class GroupCommitDocument(typing.Generic[T]):
    """Commits all changes of an interval in one transaction.

    :param store: store that keeps the document.
    :param key: key of the document.
    :param empty: initial document; its class is the type to decode.
    :param scope: ownership under which the document is written.
    :param rng: source of commit ids.
    :param interval_s: minimum interval between commits, in seconds.
    :param limit_bytes: maximum stored size.
    """

    def __init__(
        self,
        store: ports.KeyValueStore,
        key: str,
        empty: T,
        scope: CommitScope,
        rng: random.Random,
        *,
        interval_s: float = COMMIT_INTERVAL_S,
        limit_bytes: int = MAX_DOCUMENT_BYTES,
    ) -> None:
        self._store = store
        self._key = key
        self._value = empty
        self._empty = empty
        self._scope = scope
        self._rng = rng
        self._interval_s = interval_s
        self._limit_bytes = limit_bytes
        self._revision = 0
        self._stored_bytes = 0
        self._pending: list[_PendingChange[T]] = []
        self._commit_requested = trio.Event()
        self._idle = trio.Event()
        self._idle.set()
        self._closed_by: Exception | None = None
        self._size_warned = False
        self._released = False

    @property
    def value(self) -> T:
        """The last committed document."""
        return self._value

    @property
    def size(self) -> int:
        """Stored size in bytes."""
        return self._stored_bytes

    async def commit(self, change: collections.abc.Callable[[T], T]) -> T:
        """Apply a change and wait until it is durable.

        :param change: returns the new document for the old one; it may be
            called more than once. Its exceptions are raised here, and the
            change is then not applied.
        :returns: a committed document that contains the change.
        :raises citronrail.errors.DocumentFull: if the document would exceed
            the size limit.
        :raises citronrail.errors.Fenced: if the ownership has ended and the
            change was not committed.
        :raises citronrail.errors.StoreUnavailable: if the queue is full; the
            change was not committed.
        :raises citronrail.errors.StoreOutcomeUnknown: if the ownership ended
            before the outcome was known.
        """
        if self._closed_by is not None:
            raise errors.Fenced(
                f'commits of {self._key} have ended',
                step='shard.commit',
            ) from self._closed_by
        if len(self._pending) >= MAX_PENDING_CHANGES:
            raise errors.StoreUnavailable(
                'too many changes wait for a commit', step='shard.commit'
            )
        pending = _PendingChange(change)
        self._pending.append(pending)
        self._idle = trio.Event() if self._idle.is_set() else self._idle
        self._commit_requested.set()
        await pending.settled.wait()
        if pending.error is not None:
            raise pending.error
        return typing.cast(T, pending.value)

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Load the document, then commit until cancelled or fenced.

        The method returns when the ownership has ended.
        """
        try:
            await self._load()
            task_status.started()
            while True:
                await self._commit_requested.wait()
                self._commit_requested = trio.Event()
                started_at = trio.current_time()
                while self._pending:
                    batch, self._pending = self._pending, []
                    await self._commit_batch(batch)
                    if self._pending:
                        await trio.sleep_until(started_at + self._interval_s)
                        started_at = trio.current_time()
                self._idle.set()
                await trio.sleep_until(started_at + self._interval_s)
        except (errors.Fenced, errors.StoreOutcomeUnknown) as exc:
            self._close(exc)
        finally:
            self._close(
                errors.Fenced('commits ended', step='shard.commit'),
                planned=self._released and self._idle.is_set(),
            )

    async def drain(self) -> None:
        """Wait until all queued changes have been committed or failed."""
        await self._idle.wait()

    def release(self) -> None:
        """Mark the end of the ownership as planned.

        Queued changes may still be committed until :meth:`run` ends.
        """
        self._released = True

    def _close(self, exc: Exception, planned: bool = False) -> None:
        if self._closed_by is None:
            self._closed_by = exc
            if planned:
                observability.emit(events.COMMITS_CLOSED, key=self._key)
            else:
                observability.emit(
                    events.COMMITS_FENCED, key=self._key, reason=exc
                )
        pending, self._pending = self._pending, []
        for item in pending:
            item.fail(
                errors.Fenced(
                    f'not committed: {self._closed_by}', step='shard.commit'
                )
            )
        self._idle.set()

    async def _load(self) -> None:
        """Read the document, retrying until the ownership ends."""
        while True:
            self._require_ownership(unresolved=False)
            try:
                self._install(
                    await _store_calls.with_timeout(
                        self._store.get(self._key), 'shard.load'
                    )
                )
                return
            except errors.StoreError as exc:
                observability.emit(events.STORE_CALL_FAILED, reason=exc)
            await trio.sleep(RETRY_S)

    def _install(self, item: ports.KeyValue | None) -> None:
        if (item.revision if item else 0) < self._revision:
            raise errors.StoreError('stale read', step='shard.load')
        if item is None:
            self._value, self._revision, self._stored_bytes = self._empty, 0, 0
            return
        envelope = _decode_envelope(item)
        document_type = type(self._empty)
        self._value = codec.decode(envelope.body, document_type)
        self._revision = item.revision
        self._stored_bytes = len(item.value)

    async def _commit_batch(self, batch: list[_PendingChange[T]]) -> None:
        try:
            while True:
                applied, value, data, commit_id = self._apply(batch)
                if not applied:
                    return
                revision = await self._write(data, commit_id)
                if revision is not None:
                    break
                await trio.sleep(RETRY_S)
                await self._load()
        except (errors.Fenced, errors.StoreOutcomeUnknown) as exc:
            for item in batch:
                if not item.settled.is_set():
                    item.fail(exc)
            raise
        except trio.Cancelled:
            unknown = errors.StoreOutcomeUnknown(
                'commits were cancelled', step='shard.commit'
            )
            for item in batch:
                if not item.settled.is_set():
                    item.fail(unknown)
            raise
        self._value, self._revision, self._stored_bytes = (
            value,
            revision,
            len(data),
        )
        self._check_size()
        for item in applied:
            item.value = value
            item.settled.set()

    def _apply(
        self, batch: list[_PendingChange[T]]
    ) -> tuple[list[_PendingChange[T]], T, bytes, str]:
        """Apply a batch of changes, excluding those that raise."""
        commit_id = f'{self._rng.getrandbits(64):016x}'
        value, applied = self._value, []
        for item in batch:
            if item.settled.is_set():
                continue
            try:
                value = item.change(value)
            except Exception as exc:  # noqa: BLE001 - handed to its caller
                item.fail(exc)
            else:
                applied.append(item)
        data = self._encode(value, commit_id)
        if len(data) > self._limit_bytes and applied:
            return self._apply_fitting(applied, commit_id)
        return applied, value, data, commit_id

    def _apply_fitting(
        self, batch: list[_PendingChange[T]], commit_id: str
    ) -> tuple[list[_PendingChange[T]], T, bytes, str]:
        """Apply changes singly, refusing those that exceed the limit."""
        value, applied = self._value, []
        data = self._encode(value, commit_id)
        for item in batch:
            try:
                new_value = item.change(value)
                new_data = self._encode(new_value, commit_id)
            except Exception as exc:  # noqa: BLE001 - handed to its caller
                item.fail(exc)
                continue
            if len(new_data) > self._limit_bytes and len(new_data) >= len(
                data
            ):
                item.fail(
                    errors.DocumentFull(
                        f'{self._key} would have {len(new_data)} bytes of '
                        f'at most {self._limit_bytes}',
                        step='shard.commit',
                    )
                )
                continue
            value, data = new_value, new_data
            applied.append(item)
        return applied, value, data, commit_id

    def _encode(self, value: T, commit_id: str) -> bytes:
        return codec.encode(
            Envelope(self._scope.fencing, commit_id, codec.encode(value))
        )

    async def _write(self, data: bytes, commit_id: str) -> int | None:
        """Write the document, retrying until the outcome is known.

        :returns: the new revision, or None if the document was read at an
            older revision and has to be loaded again.
        """
        unresolved = False
        compares = [
            self._scope.guard,
            ports.Compare(self._key, self._revision),
        ]
        while True:
            self._require_ownership(unresolved)
            try:
                result = await _store_calls.with_timeout(
                    self._store.txn(compares, [ports.Put(self._key, data)]),
                    'shard.commit',
                )
                if result.succeeded:
                    return result.revision
                revision = await self._find_commit(commit_id)
                if revision != 0:
                    return revision
            except errors.Fenced as exc:
                raise self._ownership_error(unresolved, exc.message) from exc
            except errors.StoreOutcomeUnknown:
                unresolved = True
                observability.emit(
                    events.COMMIT_OUTCOME_UNKNOWN, key=self._key
                )
            except errors.StoreError as exc:
                observability.emit(events.STORE_CALL_FAILED, reason=exc)
            await trio.sleep(RETRY_S)

    async def _find_commit(self, commit_id: str) -> int | None:
        """Determine why the conditions of a commit failed.

        :returns: the revision of this commit if it took effect, None if
            another write changed the document, 0 after a stale read.
        :raises citronrail.errors.Fenced: if the ownership has ended.
        """
        item = await _store_calls.with_timeout(
            self._store.get(self._key), 'shard.read_back'
        )
        if item is not None and _decode_envelope(item).commit_id == commit_id:
            return item.revision
        # Unlike a read, a transaction never returns stale results.
        guarded = await _store_calls.with_timeout(
            self._store.txn([self._scope.guard], []), 'shard.read_back'
        )
        if not guarded.succeeded:
            raise errors.Fenced('another owner took over', step='shard.commit')
        if (item.revision if item else 0) > self._revision:
            return None
        return 0

    def _require_ownership(self, unresolved: bool) -> None:
        if not self._scope.holds():
            raise self._ownership_error(unresolved, 'the ownership has ended')

    def _ownership_error(self, unresolved: bool, reason: str) -> Exception:
        if unresolved:
            return errors.StoreOutcomeUnknown(
                f'the commit may have taken effect: {reason}',
                step='shard.commit',
            )
        return errors.Fenced(f'not committed: {reason}', step='shard.commit')

    def _check_size(self) -> None:
        large = self._stored_bytes > self._limit_bytes * WARNING_FRACTION
        if large and not self._size_warned:
            observability.emit(
                events.DOCUMENT_LARGE,
                key=self._key,
                size=self._stored_bytes,
                limit=self._limit_bytes,
            )
        self._size_warned = large


def _decode_envelope(item: ports.KeyValue) -> Envelope:
    try:
        return codec.decode(item.value, Envelope)
    except errors.Undecodable as exc:
        raise errors.StoreError(
            f'{item.key} cannot be decoded: {exc}', step='shard.load'
        ) from exc
