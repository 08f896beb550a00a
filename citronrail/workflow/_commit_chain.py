"""Sequential commits of the scheduler to the store."""

import collections.abc

import trio

from citronrail import errors
from citronrail import observability
from citronrail.observability.catalogue import workflow as events
from citronrail import ports
from citronrail.workflow import _documents as documents

# A transaction holds up to 32 entries: two conditions, the commit key and the
# documents.
MAX_DOCUMENTS = 28
RETRY_S = 0.05
MAX_RETRY_S = 0.5

Permission = collections.abc.Callable[[], collections.abc.Awaitable[None]]
Write = ports.Put | ports.Delete


class CommitChain:
    """Writes documents on condition that this entry is still the leader.

    Each commit also replaces the commit key on condition that its revision is
    that of the previous commit. A commit whose response was lost therefore
    can't take effect after a later one.

    :param store: the store.
    :param guard: condition that fails once the leadership has ended.
    :param prefix: prefix of commit IDs, unique to this leadership.
    :param await_permission: awaited before each attempt of a commit, None if
        attempts are always permitted.
    :param max_retry_s: longest pause between attempts, in seconds.
    """

    def __init__(
        self,
        store: ports.KeyValueStore,
        guard: ports.Compare,
        prefix: str,
        *,
        await_permission: Permission | None = None,
        max_retry_s: float = MAX_RETRY_S,
    ) -> None:
        self._store = store
        self._guard = guard
        self._prefix = prefix
        self._await_permission = await_permission
        self._max_retry_s = max_retry_s
        self._commit_count = 0
        self._revision = 0

    @property
    def revision(self) -> int:
        """Revision of the last commit, 0 without one."""
        return self._revision

    async def open(self) -> None:
        """Read the revision of the last commit.

        :raises citronrail.errors.StoreError: if the store can't be read.
        """
        item = await self._store.get(documents.COMMIT_KEY)
        self._revision = item.revision if item else 0

    async def commit(
        self, writes: collections.abc.Sequence[Write]
    ) -> list[Write]:
        """Write all documents, in several transactions if there are many.

        :param writes: at most one write for each key.
        :returns: the writes that the store will never execute. All others
            have been executed.
        :raises citronrail.errors.Fenced: if the leadership has ended.
        """
        refused: list[Write] = []
        for start in range(0, len(writes), MAX_DOCUMENTS):
            batch = writes[start : start + MAX_DOCUMENTS]
            refused += await self._commit_accepted(batch)
        return refused

    async def _commit_accepted(
        self, writes: collections.abc.Sequence[Write]
    ) -> list[Write]:
        """Commit the writes that the store accepts, in their order.

        One write that it refuses must not keep the others from being stored.

        :returns: the other writes.
        """
        try:
            await self._commit_batch(writes)
            return []
        except errors.StoreRefused as exc:
            observability.emit(
                events.COMMIT_REFUSED, writes=len(writes), reason=exc
            )
        if len(writes) == 1:
            # If the store accepts it without the write, that is the cause.
            await self._commit_batch(())
            return list(writes)
        middle = len(writes) // 2
        return [
            *await self._commit_accepted(writes[:middle]),
            *await self._commit_accepted(writes[middle:]),
        ]

    async def _commit_batch(
        self, writes: collections.abc.Sequence[Write]
    ) -> None:
        """Commit writes in one transaction; retry until it is executed.

        :raises citronrail.errors.StoreRefused: if the store will never execute
            it. Without any write it is retried.
        :raises citronrail.errors.Fenced: if the leadership has ended.
        """
        self._commit_count += 1
        commit_id = f'{self._prefix}/{self._commit_count}'.encode()
        compares = [
            self._guard,
            ports.Compare(documents.COMMIT_KEY, self._revision),
        ]
        commit_mark = ports.Put(documents.COMMIT_KEY, commit_id)
        pause_s = RETRY_S
        while True:
            if self._await_permission is not None:
                await self._await_permission()
            try:
                result = await self._store.txn(
                    compares, [commit_mark, *writes]
                )
                if result.succeeded:
                    self._revision = result.revision
                    return
                if await self._took_effect(commit_id):
                    return
                raise errors.Fenced(
                    'another scheduler took over', step='workflow.commit'
                )
            except errors.Fenced:
                raise
            except errors.LeaseLost as exc:
                raise errors.Fenced(exc.message, step=exc.step) from exc
            except errors.StoreError as exc:
                if writes and isinstance(exc, errors.StoreRefused):
                    raise
                observability.emit(events.COMMIT_RETRIED, reason=exc)
            await trio.sleep(pause_s)
            pause_s = min(2 * pause_s, self._max_retry_s)

    async def _took_effect(self, commit_id: bytes) -> bool:
        """Check whether an earlier attempt of this commit took effect."""
        item = await self._store.get(documents.COMMIT_KEY)
        if item is None or item.value != commit_id:
            return False
        self._revision = item.revision
        return True
