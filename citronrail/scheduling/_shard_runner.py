"""The owner's work on one job shard."""

import dataclasses
import functools

import trio

from citronrail import errors
from citronrail.model import identifiers
from citronrail.model import specs
from citronrail import observability
from citronrail.observability.catalogue import scheduling as catalogue
from citronrail.scheduling import _attempt_changes
from citronrail.scheduling import _batch
from citronrail.scheduling import _context
from citronrail.scheduling import _dispatch
from citronrail.scheduling import _followup
from citronrail.scheduling import _inbox
from citronrail.scheduling import _interfaces
from citronrail.scheduling import _job_changes
from citronrail.scheduling import _metrics
from citronrail.scheduling import _ownership
from citronrail.scheduling import _pending
from citronrail.scheduling import _round
from citronrail.scheduling import _shard_state
from citronrail.scheduling import _task_cancel
from citronrail.scheduling import _upkeep

RETRY_S = 0.5  # pause after a commit that the store did not take
# Rounds of a shard take at most this part of the process's time: a long queue
# without free workers must not slow down callers' requests.
ROUND_PAUSE = 5.0


class ShardRunner:
    """Commits what agents report and starts what is pending.

    One step reads the messages that came in, plans a placement round,
    commits both in one change and then sends starts, stops, queries and
    acknowledgements. Nothing is sent before its commit, nor after the
    ownership deadline.

    :param owned: the range that this process owns.
    :param document: the shard in the store.
    :param context: what shards share.
    """

    def __init__(
        self,
        owned: _ownership.Ownership,
        document: _interfaces.ShardDocument,
        context: _context.Context,
    ) -> None:
        self.owned = owned
        self._document = document
        self._context = context
        self._inbox = _inbox.Inbox()
        self._followup = _followup.Followup(owned.range_id, owned.fencing)
        self._dispatch = _dispatch.Dispatch(owned, context, self._followup)
        self._upkeep = _upkeep.Upkeep(owned, context)
        self._local_ends: list[_attempt_changes.AttemptEnd] = []
        self._waiting: _round.RoundPlan = _round.RoundPlan()
        self._next_round_at = 0.0
        self._wake = trio.Event()
        self._stopping = False
        self._stopped = trio.Event()

    @property
    def state(self) -> _shard_state.ShardState:
        """The committed state of the shard."""
        return self._document.value

    @property
    def blocked(self) -> dict[str, str]:
        """Reasons why jobs fit no known worker, by job id."""
        return {item.owner: item.reason for item in self._waiting.blocked}

    def deliver(self, item: _inbox.FromAgent) -> None:
        """Take in a message of an agent; never blocks."""
        self._inbox.add(item)
        self._wake.set()

    async def submit(
        self, spec: specs.JobSpec, command_id: identifiers.CommandId
    ) -> None:
        """Add a job durably.

        :param spec: the job.
        :param command_id: identity of the command.
        :raises citronrail.errors.CommandRefused: if it can't be taken.
        :raises citronrail.errors.StoreError: if the commit failed.
        """
        now = self._context.wall_clock()
        await self._document.commit(
            lambda state: _job_changes.submit_job(state, spec, command_id, now)
        )
        self._wake.set()

    async def cancel(
        self,
        predicate: _job_changes.JobPredicate,
        command_id: identifiers.CommandId,
        reason: str,
    ) -> int:
        """Cancel matching jobs in one change.

        :returns: number of tasks that had not ended.
        :raises citronrail.errors.StoreError: if the commit failed.
        """
        now = self._context.wall_clock()
        state = await self._document.commit(
            lambda current: _job_changes.cancel_jobs(
                current, predicate, command_id, reason, now
            )
        )
        self._wake.set()
        return _job_changes.affected_by(state, command_id) or 0

    async def cancel_tasks(
        self,
        predicate: _task_cancel.TaskPredicate,
        command_id: identifiers.CommandId,
        reason: str,
    ) -> int:
        """Cancel matching tasks in one change.

        :returns: number of tasks cancelled.
        :raises citronrail.errors.StoreError: if the commit failed.
        """
        blocked = self.blocked
        selection = await _task_cancel.select(self.state, predicate, blocked)
        now = self._context.wall_clock()
        state = await self._document.commit(
            lambda current: _task_cancel.cancel_selected(
                current, selection, command_id, reason, now
            )
        )
        self._wake.set()
        return _job_changes.affected_by(state, command_id) or 0

    async def resume(self, owner: str) -> None:
        """Let a parked job start again.

        :raises citronrail.errors.StoreError: if the commit failed.
        """
        await self._document.commit(
            lambda state: _job_changes.resume_job(state, owner)
        )
        self._wake.set()

    async def run(self) -> None:
        """Work until cancelled or drained.

        :raises citronrail.errors.CitronrailError: if the state in the store
            is not known any more, so that the shard has to be loaded again.
        """
        observability.emit(
            catalogue.SHARD_LOADED,
            range=self.owned.range_id,
            groups=len(self.state.groups),
            live=_shard_state.live_count(self.state),
        )
        try:
            # A read of the store may be answered from an old state; a commit
            # is not. Nothing is concluded before one has succeeded.
            await self._document.commit(_unchanged)
            while not self._stopping:
                await self._wait()
                if self.owned.deadline <= trio.current_time():
                    continue
                if not await self._step():
                    await trio.sleep(RETRY_S)
        finally:
            self._stopped.set()

    async def drain(self) -> None:
        """Commit what was reported and stop; the next owner goes on."""
        self._stopping = True
        self._wake.set()
        await self._stopped.wait()
        if len(self._inbox) and self.owned.deadline > trio.current_time():
            await self._step(place=False)
        self._document.release()

    async def _wait(self) -> None:
        with trio.move_on_after(self._context.limits.round_s):
            await self._wake.wait()
        self._wake = trio.Event()
        # At least one turn for others, however busy this shard is.
        await trio.lowlevel.checkpoint()

    async def _step(self, place: bool = True) -> bool:
        """Carry out one step; False if the store did not take the change."""
        items = self._inbox.take()
        reading = _inbox.read(self.state, items)
        local, self._local_ends = self._local_ends, []
        plan = await self._plan() if place else _round.RoundPlan()
        self._waiting = plan
        ended = self._judged(reading.ended)
        kept = self._upkeep.due(self.state, plan.waiting) if place else None
        batch = _batch.Batch(
            started=reading.started,
            ended=(*ended, *local, *(kept.lost if kept else ())),
            parked=plan.parked,
            services=kept.services if kept else (),
            replaced=kept.moves.replaced if kept else (),
            ready=kept.moves.ready if kept else (),
            moves=kept.moves.moves if kept else (),
            assignments=plan.assignments,
        )
        reserved = self._dispatch.reserve(self.state, plan.assignments)
        before = self.state
        committed = False
        try:
            committed = await self._commit(batch)
        finally:
            if not committed:
                self._dispatch.unreserve(reserved)
        if not committed:
            self._inbox.put_back(items)
            self._local_ends = local
            return False
        self._note(reading, before, batch)
        throttles = self._upkeep.lift_unknown(reading.throttled)
        self._local_ends += await self._dispatch.send_all(
            self.state,
            reserved,
            reading,
            (*throttles, *(kept.throttles if kept else ())),
        )
        if self._local_ends or len(self._inbox):
            self._wake.set()
        return True

    async def _plan(self) -> _round.RoundPlan:
        """Plan a round, unless no start could be sent now."""
        now = trio.current_time()
        if self._context.settings_fresh_until() <= now:
            return _round.RoundPlan()
        if now < self._next_round_at:
            return dataclasses.replace(
                self._waiting, assignments=(), parked=()
            )
        plan = await _round.plan_round(self.state, self._context)
        took_s = trio.current_time() - now
        self._next_round_at = now + took_s * ROUND_PAUSE
        _metrics.ROUND_SECONDS.observe(took_s)
        return plan

    async def _commit(self, batch: _batch.Batch) -> bool:
        if not batch:
            return True
        begun = trio.current_time()
        try:
            await self._commit_fitting(batch)
        except (errors.StoreUnavailable, errors.StoreBudgetExceeded) as exc:
            observability.emit(
                catalogue.COMMIT_FAILED,
                range=self.owned.range_id,
                reason=exc.message,
            )
            return False
        _metrics.COMMIT_SECONDS.observe(trio.current_time() - begun)
        label = str(self.owned.range_id)
        _metrics.LIVE.labels(label).set(_shard_state.live_count(self.state))
        _metrics.SHARD_BYTES.labels(label).set(self._document.size)
        _metrics.PENDING.labels(label).set(_pending.pending_count(self.state))
        return True

    async def _commit_fitting(self, batch: _batch.Batch) -> None:
        """Commit a batch; when the shard is full, only what shrinks it."""
        unix_now = self._context.wall_clock()
        try:
            await self._document.commit(
                functools.partial(_apply, batch, unix_now)
            )
        except errors.DocumentFull as exc:
            observability.emit(
                catalogue.COMMIT_FAILED,
                range=self.owned.range_id,
                reason=exc.message,
            )
            shrinking = dataclasses.replace(
                batch, assignments=(), services=(), replaced=(), parked=()
            )
            await self._document.commit(
                functools.partial(_apply, shrinking, unix_now)
            )

    def _judged(
        self, ended: tuple[_inbox.Ended, ...]
    ) -> tuple[_attempt_changes.AttemptEnd, ...]:
        """Add to failures whether the worker is to blame."""
        now = trio.current_time()
        health = self._context.policies.health
        changes = []
        for item in ended:
            change = item.change
            if change.state in ('failed', 'finished'):
                failed = change.state == 'failed'
                health.record(item.node, change.attempt, failed, now)
                healthy = health.healthy(item.node, now)
                change = dataclasses.replace(change, healthy=healthy)
            changes.append(change)
        return tuple(changes)

    def _note(
        self,
        reading: _inbox.Reading,
        before: _shard_state.ShardState,
        batch: _batch.Batch,
    ) -> None:
        """Tell observers, reservations and the timeline what was committed."""
        now = trio.current_time()
        for item in reading.ended:
            self._dispatch.note_ended(item, before)
        for attempt in reading.started:
            live = _attempt_changes.find_live(self.state, attempt)
            if live is not None:
                self._dispatch.note_started(attempt, live, before)
        for attempt in reading.doubtful:
            self._followup.doubt(attempt, now)
        for attempt in reading.stale:
            observability.emit(catalogue.STALE_REPORT, attempt=attempt)
        for move in (*batch.moves, *batch.replaced):
            # Part of a batch is put off when the shard is full.
            if not _is_leaving(self.state, move.attempt):
                continue
            observability.emit(
                catalogue.ATTEMPT_MOVED,
                attempt=move.attempt,
                node=move.node,
                reason=move.reason,
            )
        for task in batch.ready:
            self._note_replaced(before, task)
        self._note_groups(before)

    def _note_replaced(
        self, before: _shard_state.ShardState, task: specs.TaskId
    ) -> None:
        live = before.groups[task.owner].live.get(task.index)
        if live is not None and live.replaces >= 0:
            observability.emit(
                catalogue.REPLICA_REPLACED,
                replica=task.index,
                owner=task.owner,
                replaced=live.replaces,
            )

    def _note_groups(self, before: _shard_state.ShardState) -> None:
        if self.state is before:
            return
        for owner, group in self.state.groups.items():
            old = before.groups.get(owner)
            parked = _shard_state.Phase.PARKED
            if group.phase is parked and (old is None or old.phase != parked):
                observability.emit(
                    catalogue.JOB_PARKED, job=owner, reason=group.reason
                )
        known = {job.job_id for job in before.ended}
        for job in self.state.ended:
            if job.job_id not in known:
                observability.emit(
                    catalogue.JOB_ENDED, job=job.job_id, outcome=job.outcome
                )


def _unchanged(state: _shard_state.ShardState) -> _shard_state.ShardState:
    return state


def _apply(
    batch: _batch.Batch, unix_now: float, state: _shard_state.ShardState
) -> _shard_state.ShardState:
    return batch.apply(state, unix_now)


def _is_leaving(
    state: _shard_state.ShardState, attempt: specs.AttemptId
) -> bool:
    live = _attempt_changes.find_live(state, attempt)
    if live is None:
        return False
    if live.state is _shard_state.LiveState.MOVING:
        return True
    group = state.groups[attempt.task.owner]
    index = attempt.task.index
    return _attempt_changes.replacement_of(group, index) is not None
