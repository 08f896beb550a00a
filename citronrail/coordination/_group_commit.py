"""A stored document whose changes are committed in groups."""

import collections.abc
import dataclasses
import random
import typing

import msgspec
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
LIMIT_BYTES = 1000 * 1000  # below the store's 1 MB
WARN_SHARE = 0.7  # operators learn of a growing document before it is full
MAX_WAITING = 20_000

T = typing.TypeVar('T')


@dataclasses.dataclass(frozen=True)
class Envelope:
    """Stored form; ``body`` is the msgpack of the document."""

    fencing: identifiers.FencingToken
    commit_id: str
    body: bytes


@dataclasses.dataclass(frozen=True)
class CommitScope:
    """The ownership under which a document is written.

    :param guard: condition of every commit; fails once fenced.
    :param fencing: token of the owner.
    :param holds: tells whether the owner still holds by its own clock.
    """

    guard: ports.Compare
    fencing: identifiers.FencingToken
    holds: collections.abc.Callable[[], bool]


class _Waiting(typing.Generic[T]):
    """A change and what became of it."""

    def __init__(self, change: collections.abc.Callable[[T], T]) -> None:
        self.change = change
        self.ended = trio.Event()
        self.value: T | None = None
        self.error: Exception | None = None

    def fail(self, exc: Exception) -> None:
        self.error = exc
        self.ended.set()


class GroupCommitDocument(typing.Generic[T]):
    """Commits all changes of an interval in one transaction.

    :param store: store that keeps the document.
    :param key: its key.
    :param empty: the document if none is stored; its class is decoded.
    :param scope: the ownership that allows to write.
    :param rng: source of commit ids.
    :param interval_s: least time in seconds between commits.
    :param limit_bytes: largest stored size.
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
        limit_bytes: int = LIMIT_BYTES,
    ) -> None:
        self._store = store
        self._key = key
        self._value = empty
        self._empty = empty
        self._scope = scope
        self._rng = rng
        self._interval_s = interval_s
        self._limit = limit_bytes
        self._revision = 0
        self._size = 0
        self._waiting: list[_Waiting[T]] = []
        self._wake = trio.Event()
        self._idle = trio.Event()
        self._idle.set()
        self._ended: Exception | None = None
        self._warned = False
        self._released = False

    @property
    def value(self) -> T:
        """The document as last committed."""
        return self._value

    @property
    def size(self) -> int:
        """Stored size in bytes."""
        return self._size

    async def commit(self, change: collections.abc.Callable[[T], T]) -> T:
        """Change the document and wait until the change is durable.

        :param change: makes the new document from the old one; it may be
            called more than once. What it raises is raised here, and the
            change is left out.
        :returns: a committed document that contains the change.
        :raises citronrail.errors.DocumentFull: if it would be too large.
        :raises citronrail.errors.Fenced: if it surely wasn't committed and
            the ownership has ended.
        :raises citronrail.errors.StoreUnavailable: if it surely wasn't
            committed because too many changes wait.
        :raises citronrail.errors.StoreOutcomeUnknown: if the ownership ended
            before the outcome was known.
        """
        if self._ended is not None:
            raise errors.Fenced(
                f'commits of {self._key} have ended', step='shard.commit'
            ) from self._ended
        if len(self._waiting) >= MAX_WAITING:
            raise errors.StoreUnavailable(
                'too many changes wait for a commit', step='shard.commit'
            )
        waiting = _Waiting(change)
        self._waiting.append(waiting)
        self._idle = trio.Event() if self._idle.is_set() else self._idle
        self._wake.set()
        await waiting.ended.wait()
        if waiting.error is not None:
            raise waiting.error
        return typing.cast(T, waiting.value)

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Load the document, then commit until cancelled or fenced.

        Returns when the ownership has ended.
        """
        try:
            await self._load()
            task_status.started()
            while True:
                await self._wake.wait()
                self._wake = trio.Event()
                begun_at = trio.current_time()
                while self._waiting:
                    batch, self._waiting = self._waiting, []
                    await self._commit_batch(batch)
                    if self._waiting:
                        await trio.sleep_until(begun_at + self._interval_s)
                        begun_at = trio.current_time()
                self._idle.set()
                await trio.sleep_until(begun_at + self._interval_s)
        except (errors.Fenced, errors.StoreOutcomeUnknown) as exc:
            self._end(exc)
        finally:
            self._end(
                errors.Fenced('commits ended', step='shard.commit'),
                planned=self._released and self._idle.is_set(),
            )

    async def drain(self) -> None:
        """Wait until every change so far is committed or has failed."""
        await self._idle.wait()

    def release(self) -> None:
        """Note that the ownership is given up as planned.

        What waits may still be committed until :meth:`run` ends.
        """
        self._released = True

    def _end(self, exc: Exception, planned: bool = False) -> None:
        if self._ended is None:
            self._ended = exc
            if planned:
                observability.emit(events.COMMITS_RELEASED, key=self._key)
            else:
                observability.emit(
                    events.COMMIT_FENCED, key=self._key, reason=exc
                )
        waiting, self._waiting = self._waiting, []
        for item in waiting:
            item.fail(
                errors.Fenced(
                    f'not committed: {self._ended}', step='shard.commit'
                )
            )
        self._idle.set()

    async def _load(self) -> None:
        """Read the document until it succeeds or the ownership ends."""
        while True:
            self._require_ownership(unresolved=False)
            try:
                self._take(
                    await _store_calls.bounded(
                        self._store.get(self._key), 'shard.load'
                    )
                )
                return
            except errors.StoreError as exc:
                observability.emit(events.STORE_CALL_FAILED, reason=exc)
            await trio.sleep(RETRY_S)

    def _take(self, item: ports.KeyValue | None) -> None:
        if (item.revision if item else 0) < self._revision:
            raise errors.StoreError('an old state was read', step='shard.load')
        if item is None:
            self._value, self._revision, self._size = self._empty, 0, 0
            return
        envelope = _open(item)
        kind = type(self._empty)
        self._value = codec.decode(envelope.body, kind)
        self._revision = item.revision
        self._size = len(item.value)

    async def _commit_batch(self, batch: list[_Waiting[T]]) -> None:
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
                if not item.ended.is_set():
                    item.fail(exc)
            raise
        except trio.Cancelled:
            unknown = errors.StoreOutcomeUnknown(
                'commits were cancelled', step='shard.commit'
            )
            for item in batch:
                if not item.ended.is_set():
                    item.fail(unknown)
            raise
        self._value, self._revision, self._size = value, revision, len(data)
        self._warn_if_large()
        for item in applied:
            item.value = value
            item.ended.set()

    def _apply(
        self, batch: list[_Waiting[T]]
    ) -> tuple[list[_Waiting[T]], T, bytes, str]:
        """Apply the changes; those that fail are told and left out."""
        commit_id = f'{self._rng.getrandbits(64):016x}'
        value, applied = self._value, []
        for item in batch:
            if item.ended.is_set():
                continue
            try:
                value = item.change(value)
            except Exception as exc:  # noqa: BLE001 - handed to its caller
                item.fail(exc)
            else:
                applied.append(item)
        data = self._encode(value, commit_id)
        if len(data) > self._limit and applied:
            return self._apply_fitting(applied, commit_id)
        return applied, value, data, commit_id

    def _apply_fitting(
        self, batch: list[_Waiting[T]], commit_id: str
    ) -> tuple[list[_Waiting[T]], T, bytes, str]:
        """Apply one by one, refusing what grows the document too far."""
        value, applied = self._value, []
        data = self._encode(value, commit_id)
        for item in batch:
            try:
                new_value = item.change(value)
                new_data = self._encode(new_value, commit_id)
            except Exception as exc:  # noqa: BLE001 - handed to its caller
                item.fail(exc)
                continue
            if len(new_data) > self._limit and len(new_data) >= len(data):
                item.fail(
                    errors.DocumentFull(
                        f'{self._key} would have {len(new_data)} bytes of at '
                        f'most {self._limit}',
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
        """Write until the outcome is known.

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
                result = await _store_calls.bounded(
                    self._store.txn(compares, [ports.Put(self._key, data)]),
                    'shard.commit',
                )
                if result.succeeded:
                    return result.revision
                revision = await self._find_commit(commit_id)
                if revision != 0:
                    return revision
            except errors.Fenced as exc:
                raise self._fenced(unresolved, exc.message) from exc
            except errors.StoreOutcomeUnknown:
                unresolved = True
                observability.emit(events.COMMIT_LOST_ANSWER, key=self._key)
            except errors.StoreError as exc:
                observability.emit(events.STORE_CALL_FAILED, reason=exc)
            await trio.sleep(RETRY_S)

    async def _find_commit(self, commit_id: str) -> int | None:
        """Find out why a commit was refused.

        :returns: the revision of this commit, None if the document changed
            otherwise, 0 if an old state was read.
        :raises citronrail.errors.Fenced: if the ownership has ended.
        """
        item = await _store_calls.bounded(
            self._store.get(self._key), 'shard.read_back'
        )
        if item is not None and _open(item).commit_id == commit_id:
            return item.revision
        # Unlike a read, a transaction is never answered from an old state.
        guarded = await _store_calls.bounded(
            self._store.txn([self._scope.guard], []), 'shard.read_back'
        )
        if not guarded.succeeded:
            raise errors.Fenced('another owner took over', step='shard.commit')
        if (item.revision if item else 0) > self._revision:
            return None
        return 0

    def _require_ownership(self, unresolved: bool) -> None:
        if not self._scope.holds():
            raise self._fenced(unresolved, 'the ownership has ended')

    def _fenced(self, unresolved: bool, reason: str) -> Exception:
        if unresolved:
            return errors.StoreOutcomeUnknown(
                f'the commit may have taken effect: {reason}',
                step='shard.commit',
            )
        return errors.Fenced(f'not committed: {reason}', step='shard.commit')

    def _warn_if_large(self) -> None:
        large = self._size > self._limit * WARN_SHARE
        if large and not self._warned:
            observability.emit(
                events.DOCUMENT_LARGE,
                key=self._key,
                size=self._size,
                limit=self._limit,
            )
        self._warned = large


def _open(item: ports.KeyValue) -> Envelope:
    try:
        return codec.decode(item.value, Envelope)
    except msgspec.DecodeError as exc:
        raise errors.StoreError(
            f'{item.key} cannot be decoded: {exc}', step='shard.load'
        ) from exc
