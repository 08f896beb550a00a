"""Scheduling loop of one job shard at the entry that owns it."""

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

COMMIT_RETRY_DELAY_S = 0.5
# A round starts no earlier than this multiple of the previous round's duration
# after that one started. Rounds thus take at most a fifth of the process's
# time, so that a long queue without free workers doesn't delay callers.
ROUND_PAUSE_FACTOR = 5.0


class ShardRunner:
    """Commits the reports of agents and starts pending tasks.

    Each step processes the queued messages, plans a placement round, commits
    both in one change and then sends starts, stops, queries and
    acknowledgements. Messages are sent neither before the change that they
    result from is committed nor after the ownership deadline.

    :param owned: this process's ownership of the range.
    :param document: the shard in the store.
    :param context: dependencies shared by all shards.
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
        self._followup = _followup.FollowupSchedule(
            owned.range_id, owned.fencing
        )
        self._dispatcher = _dispatch.Dispatcher(owned, context, self._followup)
        self._upkeep = _upkeep.Upkeep(owned, context)
        self._unsent_start_ends: list[_attempt_changes.AttemptEnd] = []
        self._latest_plan: _round.RoundPlan = _round.RoundPlan()
        self._next_round_at = 0.0
        self._wakeup = trio.Event()
        self._stopping = False
        self._stopped = trio.Event()

    @property
    def state(self) -> _shard_state.ShardState:
        """The committed state of the shard."""
        return self._document.value

    @property
    def blocked(self) -> dict[str, str]:
        """Reasons why jobs fit no known worker, by job id."""
        return {item.owner: item.reason for item in self._latest_plan.blocked}

    def deliver(self, item: _inbox.AgentMessage) -> None:
        """Queue a message of an agent without blocking."""
        self._inbox.add(item)
        self._wakeup.set()

    async def submit(
        self, spec: specs.JobSpec, command_id: identifiers.CommandId
    ) -> None:
        """Add a job durably.

        :param spec: the job.
        :param command_id: identity of the command.
        :raises citronrail.errors.CommandRefused: if the job is not accepted.
        :raises citronrail.errors.StoreError: if the commit failed.
        """
        now = self._context.wall_clock()
        await self._document.commit(
            lambda state: _job_changes.submit_job(state, spec, command_id, now)
        )
        self._wakeup.set()

    async def cancel(
        self,
        predicate: _job_changes.JobPredicate,
        command_id: identifiers.CommandId,
        reason: str,
    ) -> int:
        """Cancel the matching jobs in one change.

        :returns: number of tasks that had not ended.
        :raises citronrail.errors.StoreError: if the commit failed.
        """
        now = self._context.wall_clock()
        state = await self._document.commit(
            lambda current: _job_changes.cancel_jobs(
                current, predicate, command_id, reason, now
            )
        )
        self._wakeup.set()
        return _job_changes.affected_tasks(state, command_id) or 0

    async def cancel_tasks(
        self,
        predicate: _task_cancel.TaskPredicate,
        command_id: identifiers.CommandId,
        reason: str,
    ) -> int:
        """Cancel the matching tasks in one change.

        :returns: number of cancelled tasks.
        :raises citronrail.errors.StoreError: if the commit failed.
        """
        blocked = self.blocked
        selection = await _task_cancel.select_tasks(
            self.state, predicate, blocked
        )
        now = self._context.wall_clock()
        state = await self._document.commit(
            lambda current: _task_cancel.cancel_selected(
                current, selection, command_id, reason, now
            )
        )
        self._wakeup.set()
        return _job_changes.affected_tasks(state, command_id) or 0

    async def resume(self, owner: str) -> None:
        """Allow a parked job to start tasks again.

        :raises citronrail.errors.StoreError: if the commit failed.
        """
        await self._document.commit(
            lambda state: _job_changes.resume_job(state, owner)
        )
        self._wakeup.set()

    async def run(self) -> None:
        """Run until cancelled or drained.

        :raises citronrail.errors.CitronrailError: if the state in the store
            is unknown, so that the shard has to be loaded again.
        """
        observability.emit(
            catalogue.SHARD_LOADED,
            range=self.owned.range_id,
            groups=len(self.state.groups),
            live=_shard_state.live_count(self.state),
        )
        try:
            # The store may answer the initial read from a stale state, but
            # it rejects a commit that is based on one. Messages are processed
            # only after a commit has confirmed that the state is current.
            await self._document.commit(_no_change)
            while not self._stopping:
                await self._wait()
                if self.owned.deadline <= trio.current_time():
                    continue
                if not await self._step():
                    await trio.sleep(COMMIT_RETRY_DELAY_S)
        finally:
            self._stopped.set()

    async def drain(self) -> None:
        """Commit the reports received so far, then stop the shard."""
        self._stopping = True
        self._wakeup.set()
        await self._stopped.wait()
        if len(self._inbox) and self.owned.deadline > trio.current_time():
            await self._step(place=False)
        self._document.release()

    async def _wait(self) -> None:
        with trio.move_on_after(self._context.limits.round_s):
            await self._wakeup.wait()
        self._wakeup = trio.Event()
        # Lets other tasks of the process run, however busy this shard is.
        await trio.lowlevel.checkpoint()

    async def _step(self, place: bool = True) -> bool:
        """Run one step; return False if its change could not be committed."""
        items = self._inbox.take()
        inbox_changes = _inbox.interpret(self.state, items)
        unsent_ends, self._unsent_start_ends = self._unsent_start_ends, []
        plan = await self._plan() if place else _round.RoundPlan()
        self._latest_plan = plan
        ended = self._with_worker_health(inbox_changes.ended)
        upkeep = self._upkeep.due(self.state, plan.waiting) if place else None
        batch = _batch.Batch(
            started=inbox_changes.started,
            ended=(*ended, *unsent_ends, *(upkeep.lost if upkeep else ())),
            parked=plan.parked,
            services=upkeep.services if upkeep else (),
            replaced=upkeep.moves.replaced if upkeep else (),
            ready=upkeep.moves.ready if upkeep else (),
            moves=upkeep.moves.moves if upkeep else (),
            assignments=plan.assignments,
        )
        reserved = self._dispatcher.reserve(self.state, plan.assignments)
        before = self.state
        committed = False
        try:
            committed = await self._commit(batch)
        finally:
            if not committed:
                self._dispatcher.release_reserved(reserved)
        if not committed:
            self._inbox.put_back(items)
            self._unsent_start_ends = unsent_ends
            return False
        self._process_committed(inbox_changes, before, batch)
        throttles = self._upkeep.lift_inherited(inbox_changes.throttled)
        self._unsent_start_ends += await self._dispatcher.send_all(
            self.state,
            reserved,
            inbox_changes,
            (*throttles, *(upkeep.throttles if upkeep else ())),
        )
        if self._unsent_start_ends or len(self._inbox):
            self._wakeup.set()
        return True

    async def _plan(self) -> _round.RoundPlan:
        """Plan a round if starts can be sent and the pause is over."""
        now = trio.current_time()
        if self._context.settings_fresh_until() <= now:
            return _round.RoundPlan()
        if now < self._next_round_at:
            return dataclasses.replace(
                self._latest_plan, assignments=(), parked=()
            )
        plan = await _round.plan_round(self.state, self._context)
        duration_s = trio.current_time() - now
        self._next_round_at = now + duration_s * ROUND_PAUSE_FACTOR
        _metrics.ROUND_SECONDS.observe(duration_s)
        return plan

    async def _commit(self, batch: _batch.Batch) -> bool:
        if not batch:
            return True
        started_at = trio.current_time()
        try:
            await self._commit_or_reduce(batch)
        except (errors.StoreUnavailable, errors.StoreBudgetExceeded) as exc:
            observability.emit(
                catalogue.COMMIT_FAILED,
                range=self.owned.range_id,
                reason=exc.message,
            )
            return False
        _metrics.COMMIT_SECONDS.observe(trio.current_time() - started_at)
        label = str(self.owned.range_id)
        _metrics.LIVE_ATTEMPTS.labels(label).set(
            _shard_state.live_count(self.state)
        )
        _metrics.SHARD_BYTES.labels(label).set(self._document.size)
        _metrics.PENDING_TASKS.labels(label).set(
            _pending.pending_count(self.state)
        )
        return True

    async def _commit_or_reduce(self, batch: _batch.Batch) -> None:
        """Commit a batch; leave out what enlarges the shard if it is full."""
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
            reduced = dataclasses.replace(
                batch, assignments=(), services=(), replaced=(), parked=()
            )
            await self._document.commit(
                functools.partial(_apply, reduced, unix_now)
            )

    def _with_worker_health(
        self, ended: tuple[_inbox.EndedAttempt, ...]
    ) -> tuple[_attempt_changes.AttemptEnd, ...]:
        """Record task results and add the health of their workers to them."""
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

    def _process_committed(
        self,
        inbox_changes: _inbox.InboxChanges,
        before: _shard_state.ShardState,
        batch: _batch.Batch,
    ) -> None:
        """Update observers, reservations and the timeline after a commit."""
        now = trio.current_time()
        for item in inbox_changes.ended:
            self._dispatcher.record_ended(item, before)
        for attempt in inbox_changes.started:
            live = _attempt_changes.find_live(self.state, attempt)
            if live is not None:
                self._dispatcher.record_started(attempt, live, before)
        for attempt in inbox_changes.unconfirmed:
            self._followup.query_now(attempt, now)
        for attempt in inbox_changes.stale:
            observability.emit(catalogue.STALE_REPORT, attempt=attempt)
        for move in (*batch.moves, *batch.replaced):
            # Not all of the batch is committed when the shard is full.
            if not _is_moving_or_replaced(self.state, move.attempt):
                continue
            observability.emit(
                catalogue.ATTEMPT_MOVED,
                attempt=move.attempt,
                node=move.node,
                reason=move.reason,
            )
        for task in batch.ready:
            self._log_replacement(before, task)
        self._log_job_changes(before)

    def _log_replacement(
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

    def _log_job_changes(self, before: _shard_state.ShardState) -> None:
        if self.state is before:
            return
        for owner, group in self.state.groups.items():
            previous = before.groups.get(owner)
            parked = _shard_state.GroupPhase.PARKED
            if group.phase is parked and (
                previous is None or previous.phase != parked
            ):
                observability.emit(
                    catalogue.JOB_PARKED, job=owner, reason=group.reason
                )
        known_ended = {job.job_id for job in before.ended}
        for job in self.state.ended:
            if job.job_id not in known_ended:
                observability.emit(
                    catalogue.JOB_ENDED, job=job.job_id, outcome=job.outcome
                )


def _no_change(state: _shard_state.ShardState) -> _shard_state.ShardState:
    return state


def _apply(
    batch: _batch.Batch, unix_now: float, state: _shard_state.ShardState
) -> _shard_state.ShardState:
    return batch.apply(state, unix_now)


def _is_moving_or_replaced(
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
