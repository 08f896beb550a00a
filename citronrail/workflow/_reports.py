"""Applies agents' reports to the scheduler's state."""

import dataclasses

from citronrail.model import messages
from citronrail.model import workflows
from citronrail import observability
from citronrail.observability.catalogue import workflow as events
from citronrail.workflow import _crashes
from citronrail.workflow import _documents as documents
from citronrail.workflow import _health
from citronrail.workflow import _job
from citronrail.workflow import _metrics as metrics
from citronrail.workflow import _queue_order
from citronrail.workflow import _scheduler_state
from citronrail.workflow import _worker_view
from citronrail.workflow.overload import _run_times

TASK_RETRY_DELAY_S = 0.3  # after a refused or failed run
LATE_REPORT_S = 1.0  # a report that reflects no later orders is late
LATE_LOG_INTERVAL_S = 1.0


class Reports:
    """Applies reports to the jobs and workers.

    :param scheduler_state: jobs and workers.
    :param bounds: limits of the deployment.
    :param fencing: fencing token of this scheduler; lists that were made
        under another token are ignored.
    :param run_times: where run times are recorded, None for nowhere.
    :param observes_steps: whether the run times of steps are observed, too.
    """

    def __init__(
        self,
        scheduler_state: _scheduler_state.SchedulerState,
        bounds: workflows.Bounds,
        fencing: int,
        run_times: _run_times.RunTimes | None = None,
        *,
        observes_steps: bool = False,
    ) -> None:
        self._scheduler_state = scheduler_state
        self._bounds = bounds
        self._fencing = fencing
        self._run_times = run_times
        self._observes_steps = observes_steps
        self._crash_log = _crashes.CrashLog(scheduler_state)
        self._late: dict[str, float] = {}  # oldest late report, by agent
        self._late_logged_at = 0.0

    def expire_leases(self, now: float) -> None:
        """Discard runs whose leases have certainly expired.

        :param now: local time in seconds.
        """
        for view in self._scheduler_state.workers.values():
            if view.leases_expired(now):
                self._crash_log.on_leases_expired(view, now)
        expired = self._scheduler_state.take_expired_inherited_runs(now)
        self._crash_log.on_inherited_runs_expired(expired, now)
        for attempt in expired:
            self._scheduler_state.discard_run(
                attempt, 'its lease has expired', now
            )
        self._scheduler_state.expire_leases(now)

    def take(
        self,
        node: str,
        report: messages.WorkerReport,
        now: float,
        unix_now: float,
    ) -> None:
        """Apply an agent's report on its worker.

        :param node: the agent.
        :param report: the report.
        :param now: local time in seconds.
        :param unix_now: Unix time in seconds.
        """
        if report.life is None:
            return
        view = self._current_view(node, report, now, unix_now)
        if view is None:
            return
        view.connected = True
        self._scheduler_state.withdraw_leases_left(view)
        view.capacity = None
        self._record_age(view, report, now)
        if report.unreachable and not view.unreachable_since:
            view.unreachable_since = now
        for refused in report.refused:
            self._on_refused(view, refused, now)
        if not report.clock_ms:
            self._update_lease_end(view, report, now, unix_now)
        if report.fencing != self._fencing or not report.clock_ms:
            return
        if not view.token_confirmed:
            view.token_confirmed = True
            # Earlier schedulers can extend no lease there any more.
            ends_at = now + _worker_view.longest_lease_s(
                self._bounds.max_lease_s
            )
            self._attach_inherited_runs(view, ends_at, now, unix_now)
        view.record_list(report.clock_ms, now)
        view.settled_order = report.settled
        self._crash_log.on_worker_back(view)
        for end in report.ended:
            if end.number > view.applied:
                view.applied = end.number
                self._on_ended(view, end, now, unix_now)
        self._update_running(view, report, now)

    def _record_age(
        self,
        view: _worker_view.WorkerView,
        report: messages.WorkerReport,
        now: float,
    ) -> None:
        """Record how late a report is applied."""
        if report.token != self._fencing:
            return
        view.orders.confirm(report.received)
        view.reports_applied = max(view.reports_applied, report.number)
        age_s = view.orders.report_age_s(now)
        metrics.REPORT_AGE_SECONDS.observe(age_s)
        if age_s >= LATE_REPORT_S:
            self._late[view.node] = max(age_s, self._late.get(view.node, 0.0))
        if self._late and now >= self._late_logged_at + LATE_LOG_INTERVAL_S:
            self._late_logged_at = now
            observability.emit(
                events.REPORTS_LATE,
                workers=len(self._late),
                seconds=round(max(self._late.values()), 2),
            )
            self._late.clear()

    def _current_view(
        self,
        node: str,
        report: messages.WorkerReport,
        now: float,
        unix_now: float,
    ) -> _worker_view.WorkerView | None:
        """Return the view of the reported incarnation of a worker.

        :returns: None if the report is about an earlier incarnation.
        """
        life = report.life
        assert life is not None
        view = self._scheduler_state.workers.get(node)
        if view is not None and view.matches(life.worker_id, life.born_ms):
            if view.draining:
                # A worker never takes its announced stop back.
                life = dataclasses.replace(life, state=view.life.state)
            if life.state != view.life.state:
                self._log_incarnation(node, life)
            view.drain_ends_at = now + life.drain_left_s
            view.life = life
            return view
        if (
            view is not None
            and life.born_ms < view.life.born_ms
            and not self._follows_last(view, report)
        ):
            return None
        self._log_incarnation(node, life)
        new_view = _worker_view.WorkerView(node, life)
        new_view.incarnations = report.incarnations
        new_view.lease_ends_at = now + self._bounds.max_lease_s * 1.05
        self._scheduler_state.workers[node] = new_view
        if view is not None:
            self._crash_log.on_worker_lost(view, new_view, now, unix_now)
            for attempt in list(view.attempts.values()):
                self._resolve_stale_run(attempt, new_view, now)
        return new_view

    def _follows_last(
        self, view: _worker_view.WorkerView, report: messages.WorkerReport
    ) -> bool:
        """Whether a report was made after the last one that was applied.

        Then it shows the present incarnation even if that has an earlier time
        of birth: the clock of its host may have been set back.
        """
        return (
            report.token == self._fencing
            and report.number > view.reports_applied
        )

    def _log_incarnation(self, node: str, life: messages.WorkerLife) -> None:
        observability.emit(
            events.WORKER_LIFE,
            worker=life.worker_id,
            born=life.born_ms,
            node=node,
            state=life.state,
        )

    def _update_lease_end(
        self,
        view: _worker_view.WorkerView,
        report: messages.WorkerReport,
        now: float,
        unix_now: float,
    ) -> None:
        """Update the end of an unreachable worker's leases from its agent.

        Without it, inherited runs on a lost worker would be waited for as
        long as an earlier scheduler could have extended any lease.
        """
        if report.token != self._fencing:
            return  # the agent may still accept orders of an earlier scheduler
        if report.lease_until_ms < view.lease_until_ms:
            return  # an order of this scheduler has not arrived yet
        inherited_runs = self._scheduler_state.inherited_runs.get(
            view.node, ()
        )
        if view.may_hold_stale_orders or not all(
            view.matches(item.worker_id, item.born_ms)
            for item in inherited_runs
        ):
            return  # orders for an earlier incarnation may be carried out
        if not view.token_confirmed:
            self._attach_inherited_runs(view, float('inf'), now, unix_now)
        ends_at = now + report.lease_left_s
        view.lease_ends_at = min(view.lease_ends_at, ends_at)

    def _attach_inherited_runs(
        self,
        view: _worker_view.WorkerView,
        leases_end_at: float,
        now: float,
        unix_now: float,
    ) -> None:
        """Attach the runs of a worker that has been heard of.

        :param view: the worker.
        :param leases_end_at: local time by which the leases that earlier
            schedulers extended have ended, as far as its report shows.
        :param now: local time in seconds.
        :param unix_now: Unix time in seconds.
        """
        view.lease_ends_at = max(
            view.lease_ends_at,
            min(leases_end_at, self._scheduler_state.inherited_end_at),
        )
        lost = []
        for attempt in self._scheduler_state.inherited_runs.pop(view.node, ()):
            if attempt not in attempt.task.attempts:
                continue
            if attempt.lease_left_s:
                # A successor must not rely on it once leases are extended.
                attempt.lease_left_s = 0.0
                view.may_extend_leases = False
                self._scheduler_state.mark_changed(attempt.task)
            if view.matches(attempt.worker_id, attempt.born_ms):
                view.attempts[attempt.key] = attempt
                attempt.order_sent_at = now
                if attempt.task.crashes:
                    view.probation_job = attempt.task.stage.job
            else:
                lost.append(attempt)
        self._crash_log.on_inherited_runs_lost(lost, view, now, unix_now)
        for attempt in lost:
            self._resolve_stale_run(attempt, view, now)

    def _resolve_stale_run(
        self, attempt: _job.Attempt, view: _worker_view.WorkerView, now: float
    ) -> None:
        """Handle a run that was ordered from an earlier incarnation.

        A run that was listed ended with that incarnation. A start order that
        was never seen to be carried out may still reach a new incarnation
        with the same worker ID, so such a run is kept and stopped.
        """
        if attempt.worker_id != view.worker_id or attempt.listed_at:
            self._scheduler_state.discard_run(
                attempt, 'the worker was restarted', now
            )
            return
        view.may_hold_stale_orders = True
        attempt.born_ms = view.life.born_ms
        view.attempts[attempt.key] = attempt
        self._scheduler_state.stop_run(
            attempt, 'ordered from an earlier incarnation'
        )

    def _update_running(
        self,
        view: _worker_view.WorkerView,
        report: messages.WorkerReport,
        now: float,
    ) -> None:
        listed = set()
        for row in report.running:
            key = (row.task, row.run)
            listed.add(key)
            attempt = view.attempts.get(key)
            if attempt is None:
                if key not in view.unknown_run_stops:
                    view.unknown_run_stops[key] = 0.0
                    _log_unknown(view, row)
                continue
            self._scheduler_state.mark_begun(attempt.task.stage.job)
            _update_from_row(attempt, row, now, view)
            self._crash_log.on_listed(attempt, view)
        for key in [
            key for key in view.unknown_run_stops if key not in listed
        ]:
            del view.unknown_run_stops[key]
        if not report.has_more_ends:
            self._update_absent(view, report, listed, now)

    def _update_absent(
        self,
        view: _worker_view.WorkerView,
        report: messages.WorkerReport,
        listed: set[tuple[str, int]],
        now: float,
    ) -> None:
        """Handle runs that stand in neither list of a complete report.

        :param view: the worker.
        :param report: its lists, with all ends that it holds.
        :param listed: keys of the running runs.
        :param now: local time in seconds.
        """
        stopped = {(item.task, item.run) for item in report.stopped}
        for key, attempt in list(view.attempts.items()):
            if key in listed or not attempt.ordered:
                continue
            if key in stopped:
                self._scheduler_state.discard_run(
                    attempt, 'stopped before it started', now
                )
            elif (
                attempt.missing_from_ms is None
                and report.settled >= attempt.order_number
            ):
                attempt.missing_from_ms = report.clock_ms

    def _on_refused(
        self,
        view: _worker_view.WorkerView,
        refused: messages.RefusedStart,
        now: float,
    ) -> None:
        attempt = view.attempts.get((refused.task, refused.run))
        if attempt is None or attempt.listed_at:
            return
        observability.emit(
            events.RUN_REFUSED,
            task=refused.task,
            run=refused.run,
            worker=view.worker_id,
            reason=refused.reason,
        )
        self._scheduler_state.remove_run(attempt)
        attempt.task.retry_at = now + TASK_RETRY_DELAY_S

    def _on_ended(
        self,
        view: _worker_view.WorkerView,
        end: messages.EndRow,
        now: float,
        unix_now: float,
    ) -> None:
        task = self._scheduler_state.find_task(end.task)
        if task is None:
            return
        attempt = view.attempts.get((end.task, end.run))
        known = attempt is not None
        if attempt is not None:
            self._scheduler_state.remove_run(attempt)
        metrics.RUNS_ENDED.labels(end.how).inc()
        observability.emit(
            events.RUN_ENDED,
            task=end.task,
            run=end.run,
            worker=view.worker_id,
            how=end.how,
        )
        job = task.stage.job
        self._scheduler_state.mark_begun(job)
        self._scheduler_state.mark_changed(task)
        if end.checkpoint and end.run >= task.last_run:
            task.checkpoint = end.checkpoint
        if end.how == 'done':
            view.failed_jobs.clear()
            if attempt is not None:
                self._observe_run(attempt, now)
            self._task_done(task, unix_now)
        elif end.how == 'failed' and known:
            self._task_failed(view, task, now, unix_now)
        elif known and end.how != 'stopped':
            task.retry_at = now + TASK_RETRY_DELAY_S

    def _observe_run(self, attempt: _job.Attempt, now: float) -> None:
        if self._run_times is not None:
            self._run_times.on_done(attempt, now)
        if self._observes_steps:
            run_s = _run_times.observed_run_s(attempt, now)
            if run_s is not None:
                attempt.task.stage.observe_run(run_s)

    def _task_done(self, task: _job.Task, unix_now: float) -> None:
        stage = task.stage
        if stage.spec.long_running:
            return
        stage.mark_done(task)
        if stage.spec.gang and not stage.done:
            for member in stage.tasks:
                stage.mark_done(member)
                self._scheduler_state.mark_changed(member)
        if not stage.spec.gang:
            for other in task.attempts:
                self._scheduler_state.stop_run(
                    other, 'another run of the task is done'
                )
        job = stage.job
        if job.status is documents.JobStatus.COMPLETED and not job.ended_at:
            self._scheduler_state.end_job(job, unix_now, 'the job is complete')

    def _task_failed(
        self,
        view: _worker_view.WorkerView,
        task: _job.Task,
        now: float,
        unix_now: float,
    ) -> None:
        stage = task.stage
        job = stage.job
        task.failures += 1
        task.retry_at = now + TASK_RETRY_DELAY_S
        task.failed_on = view.node
        job.failed_on.add(view.node)
        if job.failed_on == {view.node}:
            # A job that fails on other workers, too, is likely to be the cause
            # itself.
            view.failed_jobs = [*view.failed_jobs[-8:], job.job_id]
        if _health.should_avoid(view.failed_jobs):
            self._scheduler_state.avoid_worker(view, 'its runs fail', now)
            view.failed_jobs.clear()
        if stage.spec.long_running or task.done:
            return
        queue = self._scheduler_state.queue_named(job.record.queue)
        limit = _queue_order.max_attempts(queue, job.record)
        failures = task.failures
        if stage.spec.gang:
            failures = max(member.failures for member in stage.known_tasks())
        if limit and failures >= limit and job.open:
            detail = f'{failures} failed runs of {task.name}'
            self._scheduler_state.fail_job(job, 'runs', detail, unix_now)


def _log_unknown(view: _worker_view.WorkerView, row: messages.RunRow) -> None:
    metrics.RUNS_STOPPED.labels('unknown').inc()
    observability.emit(
        events.UNKNOWN_RUN_STOPPED,
        task=row.task,
        run=row.run,
        worker=view.worker_id,
    )


def _update_from_row(
    attempt: _job.Attempt,
    row: messages.RunRow,
    now: float,
    view: _worker_view.WorkerView,
) -> None:
    attempt.missing_from_ms = None
    if not attempt.listed_at:
        attempt.listed_at = now
        attempt.listed_clock_ms = view.clock_ms
        attempt.listed_percent = row.percent
        attempt.steady_since = view.list_made_at
        attempt.steady_percent = row.percent
    if row.percent != attempt.percent:
        attempt.percent = row.percent
        attempt.moved_at = view.list_made_at
    attempt.load = row.load
    if row.checkpoint:
        if row.checkpoint != attempt.task.checkpoint:
            attempt.checkpoint_at = now
        attempt.task.checkpoint = row.checkpoint
