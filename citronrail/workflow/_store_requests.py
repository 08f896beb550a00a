"""Carries out requests of callers by this entry's own store calls."""

import collections.abc
import typing

import trio

from citronrail import errors
from citronrail import ports
from citronrail.workflow import _documents as documents
from citronrail.workflow import _request_attempts
from citronrail.workflow import _scheduler_state
from citronrail.workflow import _verdict

T = typing.TypeVar('T')
STORE_RETRY_S = 0.1
# The store may refuse this entry and still serve others. Failing early lets
# the caller try another entry.
STORE_TIMEOUT_S = 1.2

Reply = _verdict.Reply
Verdict = _verdict.Verdict


class StoreRequests:
    """Creates and reads the keys of jobs, and retries failed calls.

    :param store: the store.
    :param is_reachable: whether the store may answer now, None if that isn't
        observed; calls are then retried until their deadline.
    """

    def __init__(
        self,
        store: ports.KeyValueStore,
        is_reachable: collections.abc.Callable[[], bool] | None = None,
    ) -> None:
        self._store = store
        self._is_reachable = is_reachable
        self.seen_revision = 0  # the highest one of the store's answers

    async def create(
        self,
        key: str,
        value: bytes,
        deadline: float,
        attempt: _request_attempts.Attempt | None = None,
    ) -> Verdict:
        """Create a key unless it exists; retry until the deadline.

        :param key: the key.
        :param value: its value.
        :param deadline: local time in seconds.
        :param attempt: records the progress.
        """

        async def call() -> Verdict:
            await self._txn([ports.Compare(key, 0)], [ports.Put(key, value)])
            return Verdict.DONE

        return await self._write(call, deadline, attempt)

    async def create_job(
        self,
        job: documents.JobRecord,
        record: bytes,
        deadline: float,
        attempt: _request_attempts.Attempt | None = None,
    ) -> Verdict:
        """Store a job unless it exists; retry until the deadline.

        A cancellation that was stored before the submission arrived is
        replaced. One that may be later holds: the job is not stored, also not
        by a write that is executed late.

        :param job: the job.
        :param record: the job as it is stored.
        :param deadline: local time in seconds.
        :param attempt: records the progress.
        """
        job_key = documents.JOB_PREFIX + job.job_id
        cancel_key = documents.CANCEL_PREFIX + job.job_id
        replaced = 0  # revision of the cancellation, 0 for none

        async def call() -> Verdict | None:
            nonlocal replaced
            compares = [
                ports.Compare(job_key, 0),
                ports.Compare(cancel_key, replaced),
            ]
            writes: list[ports.Put | ports.Delete] = [
                ports.Put(job_key, record)
            ]
            if replaced:
                writes.append(ports.Delete(cancel_key))
            if await self._txn(compares, writes):
                return Verdict.DONE
            if await self._get(job_key) is not None:
                return Verdict.DONE
            cancellation = await self._get(cancel_key)
            replaced = 0 if cancellation is None else cancellation.revision
            return Verdict.NOT_RUN if replaced > job.submitted_after else None

        return await self._write(call, deadline, attempt)

    async def _write(
        self,
        call: collections.abc.Callable[
            [], collections.abc.Awaitable[Verdict | None]
        ],
        deadline: float,
        attempt: _request_attempts.Attempt | None,
    ) -> Verdict:
        """Call until there is a verdict or the deadline has passed."""
        attempt = attempt or _request_attempts.Attempt()
        deadline = min(deadline, trio.current_time() + STORE_TIMEOUT_S)
        while True:
            attempt.in_flight = True
            try:
                with trio.fail_at(deadline):
                    verdict = await call()
                if verdict is Verdict.DONE:
                    return verdict
                if verdict is not None:
                    attempt.in_flight = False
                    return Verdict.UNKNOWN if attempt.lost else verdict
                continue
            except (errors.StoreOutcomeUnknown, trio.TooSlowError):
                attempt.lost = True
            except errors.StoreRefused:
                return Verdict.UNKNOWN if attempt.lost else Verdict.NOT_RUN
            except errors.StoreError:
                pass
            attempt.failed()
            if self._gives_up(attempt, deadline):
                return Verdict.UNKNOWN if attempt.lost else Verdict.NOT_RUN
            await trio.sleep(STORE_RETRY_S)

    async def _txn(
        self,
        compares: list[ports.Compare],
        writes: list[ports.Put | ports.Delete],
    ) -> bool:
        """Carry out a transaction; return whether its conditions held."""
        result = await self._store.txn(compares, writes)
        if result.succeeded:
            self.seen_revision = max(self.seen_revision, result.revision)
        return result.succeeded

    async def _get(self, key: str) -> ports.KeyValue | None:
        item = await self._store.get(key)
        if item is not None:
            self.seen_revision = max(self.seen_revision, item.revision)
        return item

    async def exists(
        self,
        job_id: str,
        deadline: float,
        attempt: _request_attempts.Attempt | None = None,
    ) -> Verdict:
        """Return ``DONE`` if a job is stored, otherwise ``ABSENT``.

        :param job_id: ID of the job.
        :param deadline: local time in seconds.
        :param attempt: records the progress.
        """
        key = documents.JOB_PREFIX + job_id
        return await self._read(
            key, deadline, lambda _: Verdict.DONE, Verdict.ABSENT, attempt
        )

    async def stored_state(
        self,
        job_id: str,
        deadline: float,
        attempt: _request_attempts.Attempt | None = None,
    ) -> Reply:
        """Read the state from the store, with one call for a job with runs.

        Entries read it from the store when the scheduling entry is overloaded
        or absent, which is when each call counts.

        :param job_id: ID of the job.
        :param deadline: local time in seconds.
        :param attempt: records the progress.
        """
        key = documents.PROGRESS_PREFIX + job_id

        def to_reply(item: ports.KeyValue) -> Reply:
            record = _scheduler_state.decode_item(
                key, item.value, documents.ProgressRecord
            )
            if record is None:
                return Reply(Verdict.UNKNOWN)
            return Reply(Verdict.DONE, record.status)

        absent = Reply(Verdict.ABSENT)
        reply = await self._read(key, deadline, to_reply, absent, attempt)
        if isinstance(reply, Verdict):
            return Reply(reply)
        if reply is not absent:
            return reply
        outcome = await self.exists(job_id, deadline, attempt)
        if outcome is not Verdict.DONE:
            return Reply(outcome)
        return Reply(Verdict.DONE, documents.JobStatus.QUEUED.value)

    async def _read(
        self,
        key: str,
        deadline: float,
        convert: collections.abc.Callable[[ports.KeyValue], T],
        if_absent: T,
        attempt: _request_attempts.Attempt | None = None,
    ) -> T | Verdict:
        attempt = attempt or _request_attempts.Attempt()
        while True:
            try:
                with trio.fail_at(deadline):
                    item = await self._get(key)
                return if_absent if item is None else convert(item)
            except (errors.StoreError, trio.TooSlowError):
                attempt.failed()
                if self._gives_up(attempt, deadline):
                    # A read has no effect.
                    if attempt.bounded:
                        return Verdict.NOT_RUN
                    return Verdict.UNKNOWN
                await trio.sleep(STORE_RETRY_S)

    def _gives_up(
        self, attempt: _request_attempts.Attempt, deadline: float
    ) -> bool:
        """Whether a request isn't retried after a failed call."""
        if trio.current_time() + STORE_RETRY_S >= deadline:
            return True
        if not attempt.bounded or self._is_reachable is None:
            return False
        return not self._is_reachable() or (
            attempt.alone and attempt.tries >= attempt.min_tries
        )
