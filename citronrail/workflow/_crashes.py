"""Attributes crashes of workers to the tasks that may have caused them.

A task can crash each worker that starts it. The worker takes all its runs
along and lists no ends, so that a crash looks alike for the task that caused
it and for those that merely ran there. These rules tell them apart:

* Only a run that is new on its worker can have caused a crash: one that has
  not been listed for some time, or that was ordered right before.
* A suspected task starts only as the one new run of its worker, at first on a
  host that has not lost its worker lately (see
  :mod:`citronrail.workflow._probation`), so that a further crash points to its
  job alone. A crash points to a job only if an agent saw it right after the
  start, on such a host.
* A task is given up after five crashes, and not before: the users allow it two
  starts after three crashes, and fewer may be a coincidence even if each of
  them points to the task.
* A task crashes its worker, not the agent beside it. Where each loss but one
  took the agent along, hosts fail for other reasons.
"""

import collections.abc
import dataclasses

from citronrail import observability
from citronrail.observability.catalogue import workflow as events
from citronrail.workflow import _documents as documents
from citronrail.workflow import _job
from citronrail.workflow import _metrics as metrics
from citronrail.workflow import _scheduler_state
from citronrail.workflow import _worker_view

# A crash points to a run only if its worker was lost so soon after the order.
NEAR_START_S = 0.5
# A run that was listed for this long was not lost by its start, and shows that
# its task crashes no workers.
LASTED_S = 0.5
# Runs that a predecessor assigned so long before a worker came back were
# cleared when it was lost; workers are back within some seconds.
INHERITED_NEW_S = 6.0
# No task is started again after so many crashes, alone or not.
MAX_CRASHES = 5
# A loss that took the agent along may coincide with a crash by a task, but not
# that often.
MIN_CRASHES_BESIDE_AGENT = 2
# Bounds the starts of a task that brings whole hosts down.
MAX_LOSSES = 15
MAX_LOGGED_RUNS = 8


def is_proved(
    crashes: collections.abc.Sequence[documents.CrashRecord],
) -> bool:
    """Whether a task may not be started again for its crashes.

    :param crashes: crashes recorded for the task.
    """
    beside_agent = sum(not crash.with_agent for crash in crashes)
    return len(crashes) >= MAX_LOSSES or (
        len(crashes) >= MAX_CRASHES
        and beside_agent >= MIN_CRASHES_BESIDE_AGENT
    )


@dataclasses.dataclass(frozen=True)
class _Loss:
    """The end of a worker incarnation that nobody had announced.

    ``runs`` are those that were new on it. ``near_start`` tells whether it was
    seen to be lost right after the start of one, ``on_sound_host`` whether its
    host had not lost a worker shortly before, ``with_agent`` whether its agent
    was lost as well.
    """

    node: str
    life: tuple[str, int]
    runs: tuple[_job.Attempt, ...]
    near_start: bool = False
    on_sound_host: bool = False
    with_agent: bool = False


class CrashLog:
    """Records crashes with the tasks that they may be attributed to.

    :param scheduler_state: jobs and workers.
    """

    def __init__(
        self, scheduler_state: _scheduler_state.SchedulerState
    ) -> None:
        self._scheduler_state = scheduler_state
        self._unix_offset = 0.0  # from local to Unix time, in seconds

    def on_worker_lost(
        self,
        view: _worker_view.WorkerView,
        successor: _worker_view.WorkerView,
        now: float,
        unix_now: float,
    ) -> None:
        """Attribute the end of an incarnation that has been replaced.

        :param view: the incarnation, with the runs that it took along.
        :param successor: the one that has replaced it.
        :param now: local time in seconds.
        :param unix_now: Unix time in seconds.
        """
        if view.leaving:
            return  # a planned end
        attempts = [*view.presumed_lost, *view.attempts.values()]
        attempts = [attempt for attempt in attempts if attempt.ordered]
        view.presumed_lost = []
        _log_loss(view, attempts)
        # A run that was ordered from an earlier incarnation, and is only kept
        # to be stopped, was recorded when that incarnation was lost.
        new = [
            attempt
            for attempt in attempts
            if _is_new(attempt, view)
            and (attempt.listed_at or not attempt.stop_reason)
        ]
        near_start = bool(view.unreachable_since) and any(
            _is_near_start(attempt, view) for attempt in new
        )
        life = (view.worker_id, view.life.born_ms)
        losses = self._scheduler_state.host_losses
        loss = _Loss(
            view.node,
            life,
            tuple(new),
            near_start,
            not losses.count(view.node, now),
            _is_first_of_agent(successor) and not view.unreachable_since,
        )
        losses.add(life, view.node, now)
        self._attribute(loss, unix_now)

    def on_inherited_runs_lost(
        self,
        attempts: list[_job.Attempt],
        view: _worker_view.WorkerView,
        now: float,
        unix_now: float,
    ) -> None:
        """Attribute the loss of runs that an earlier scheduler assigned.

        Runs that are known to have lasted did not crash their worker.

        :param attempts: runs of earlier incarnations of one worker.
        :param view: the present incarnation.
        :param now: local time in seconds.
        :param unix_now: Unix time in seconds.
        """
        self._unix_offset = unix_now - now
        by_life: dict[tuple[str, int], list[_job.Attempt]] = {}
        for attempt in attempts:
            assigned_lately = (
                attempt.assigned_at
                > view.life.born_ms / 1000 - INHERITED_NEW_S
            )
            if assigned_lately and not attempt.lasted:
                by_life.setdefault(attempt.life, []).append(attempt)
        for life, runs in by_life.items():
            node = runs[0].node
            self._scheduler_state.host_losses.add(life, node, now)
            loss = _Loss(
                node, life, tuple(runs), with_agent=_is_first_of_agent(view)
            )
            self._attribute(loss, unix_now)

    def on_leases_expired(
        self, view: _worker_view.WorkerView, now: float
    ) -> None:
        """Suspect the new runs of a worker that has been silent for long.

        Whether it crashed shows when it is heard of again. A task that may
        not be started again is given up at once.

        :param view: the worker.
        :param now: local time in seconds.
        """
        if view.leaving:
            return
        unix_now = now + self._unix_offset
        for attempt in list(view.attempts.values()):
            if attempt.ordered and not attempt.listed_at:
                view.presumed_lost.append(attempt)
                self._add(
                    attempt,
                    sole=False,
                    with_agent=not view.unreachable_since,
                )
                self._give_up_if_proved(attempt.task, unix_now)

    def on_inherited_runs_expired(
        self, attempts: list[_job.Attempt], now: float
    ) -> None:
        """Suspect inherited runs whose workers were never heard of.

        :param attempts: runs whose leases have ended.
        :param now: local time in seconds.
        """
        unix_now = now + self._unix_offset
        for attempt in attempts:
            if not attempt.lasted:
                self._add(attempt, sole=False, with_agent=True)
                self._give_up_if_proved(attempt.task, unix_now)

    def on_worker_back(self, view: _worker_view.WorkerView) -> None:
        """Withdraw the suspicion against runs of a worker that lives on."""
        for attempt in view.presumed_lost:
            task = attempt.task
            task.crashes = tuple(
                crash for crash in task.crashes if crash.life != attempt.life
            )
            self._scheduler_state.mark_changed(task)
        view.presumed_lost = []

    def on_listed(
        self, attempt: _job.Attempt, view: _worker_view.WorkerView
    ) -> None:
        """Clear a task whose run has lasted.

        While hosts are lost that is stored at once, so that a successor
        doesn't count the loss of the run.
        """
        if attempt.lasted or not attempt.listed_at:
            return
        if view.clock_ms - attempt.listed_clock_ms < LASTED_S * 1000:
            return
        attempt.lasted = True
        task = attempt.task
        task.stage.job.changed_segments.add(task.segment)
        if task.crashes:
            observability.emit(
                events.TASK_CLEARED,
                task=task.name,
                crashes=len(task.crashes),
                run=attempt.number,
                worker=attempt.worker_id,
            )
        if task.crashes or self._scheduler_state.host_losses.any(
            view.listed_at
        ):
            task.crashes = ()
            self._scheduler_state.mark_changed(task)

    def _attribute(self, loss: _Loss, unix_now: float) -> None:
        """Record a loss with its runs, and give up tasks that it proves."""
        jobs = {attempt.task.stage.job for attempt in loss.runs}
        reason = _why_unclear(loss, len(jobs))
        if loss.runs and reason:
            observability.emit(
                events.CRASH_UNCLEAR,
                worker=loss.life[0],
                node=loss.node,
                runs=len(loss.runs),
                reason=reason,
            )
        for attempt in loss.runs:
            self._add(attempt, sole=not reason, with_agent=loss.with_agent)
        for attempt in loss.runs:
            self._give_up_if_proved(attempt.task, unix_now)

    def _add(
        self, attempt: _job.Attempt, *, sole: bool, with_agent: bool
    ) -> None:
        """Record a crash for a task; a known one never loses its weight."""
        task = attempt.task
        if task.done:
            return
        others = []
        for known in task.crashes:
            if known.life == attempt.life:
                sole |= known.sole
                with_agent &= known.with_agent
            else:
                others.append(known)
        worker_id, born_ms = attempt.life
        crash = documents.CrashRecord(
            worker_id, born_ms, attempt.node, sole, with_agent
        )
        task.crashes = (*others, crash)
        self._scheduler_state.mark_changed(task)
        observability.emit(
            events.TASK_SUSPECTED,
            task=task.name,
            run=attempt.number,
            worker=worker_id,
            crashes=len(task.crashes),
            alone='alone' if sole else 'among others',
        )

    def _give_up_if_proved(self, task: _job.Task, unix_now: float) -> None:
        job = task.stage.job
        if not (job.open and is_proved(task.crashes)):
            return
        metrics.TASKS_GIVEN_UP.inc()
        observability.emit(
            events.TASK_GIVEN_UP,
            task=task.name,
            workers=', '.join(crash.worker_id for crash in task.crashes),
        )
        self._scheduler_state.host_losses.forgive(
            crash.life for crash in task.crashes
        )
        detail = f'{len(task.crashes)} crashes under {task.name}'
        self._scheduler_state.fail_job(job, 'crashes', detail, unix_now)


def _why_unclear(loss: _Loss, job_count: int) -> str:
    """Return why a loss points to no job, '' if it points to one."""
    if loss.with_agent:
        return 'its agent was lost as well'
    if not loss.near_start:
        return 'it was not seen to follow a start'
    if job_count != 1:
        return f'runs of {job_count} jobs were new'
    return '' if loss.on_sound_host else 'its host was lost shortly before'


def _is_first_of_agent(view: _worker_view.WorkerView) -> bool:
    """Whether the agent process has seen no earlier incarnation."""
    return view.incarnations == 1


def _is_new(attempt: _job.Attempt, view: _worker_view.WorkerView) -> bool:
    """Whether a run was new on a worker when that was lost."""
    if attempt.lasted:
        return False
    if not attempt.listed_at or not view.unreachable_since:
        return True
    return _is_near_start(attempt, view)


def _is_near_start(
    attempt: _job.Attempt, view: _worker_view.WorkerView
) -> bool:
    """Whether a worker was lost right after the order of a run."""
    if not view.unreachable_since:
        return True  # the time of the loss is unknown
    return view.unreachable_since - attempt.order_sent_at < NEAR_START_S


def _log_loss(
    view: _worker_view.WorkerView, attempts: list[_job.Attempt]
) -> None:
    lost_at = view.unreachable_since or view.listed_at
    newest = sorted(attempts, key=lambda item: -item.order_sent_at)
    metrics.WORKERS_LOST.inc()
    metrics.RUNS_LOST.inc(len(attempts))
    observability.emit(
        events.WORKER_LOST,
        worker=view.worker_id,
        born=view.life.born_ms,
        node=view.node,
        runs=len(attempts),
        newest=', '.join(
            f'{attempt.task.name}#{attempt.number} '
            f'{lost_at - attempt.order_sent_at:.2f} s old'
            for attempt in newest[:MAX_LOGGED_RUNS]
        ),
    )
