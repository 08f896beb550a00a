"""The attempts on one host, their reservations and unacknowledged reports."""

import dataclasses

import trio

from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import resources
from citronrail.model import specs
from citronrail import observability
from citronrail.observability.catalogue import scheduling as catalogue
from citronrail.ports import worker as workers
from citronrail.scheduling import _interfaces
from citronrail.scheduling import _local_tasks
from citronrail.scheduling import _report_queue
from citronrail.scheduling import _runner_requests
from citronrail.scheduling import _start_guard

LocalState = _local_tasks.LocalState


class TaskTable:
    """Attempts that hold a reservation, reconciled with the worker's list.

    :param ledger: capacity ledger of this host.
    :param guard: attempt numbers and fencing tokens seen.
    :param requests: pending requests of owners.
    """

    def __init__(
        self,
        ledger: _interfaces.Ledger,
        guard: _start_guard.StartGuard,
        requests: _runner_requests.OwnerRequests,
    ) -> None:
        self._ledger = ledger
        self._guard = guard
        self._requests = requests
        self.tasks: dict[specs.AttemptId, _local_tasks.LocalTask] = {}
        self.reports = _report_queue.ReportQueue()
        self.reports_changed = trio.Event()
        self.rebuilt = False

    def add(self, task: _local_tasks.LocalTask) -> None:
        """Add an attempt whose resources were admitted."""
        self.tasks[task.attempt] = task

    def admit(
        self, attempt: specs.AttemptId, amount: resources.Resources
    ) -> str:
        """Reserve resources; return why they were refused, or ''."""
        admission = self._ledger.admit(attempt, amount)
        return '' if admission.accepted else admission.reason

    def set_state(self, attempt: specs.AttemptId, state: LocalState) -> None:
        """Change the state of an attempt."""
        self.tasks[attempt] = dataclasses.replace(
            self.tasks[attempt], state=state, since=trio.current_time()
        )

    def is_starting(self, attempt: specs.AttemptId) -> bool:
        """Tell whether the start call of an attempt is in progress."""
        task = self.tasks.get(attempt)
        return task is not None and task.state is LocalState.STARTING

    def any_starting(self) -> bool:
        """Tell whether the outcome of any start is undecided."""
        return any(
            task.state is not LocalState.RUNNING
            for task in self.tasks.values()
        )

    def release_unstarted(self, attempt: specs.AttemptId) -> None:
        """Remove an attempt that was not started, releasing its resources."""
        self.tasks.pop(attempt, None)
        self._ledger.release(attempt)

    def is_known(self, attempt: specs.AttemptId) -> bool:
        """Tell whether an attempt is in the table or its report is kept."""
        return attempt in self.tasks or attempt in self.reports

    def resend_now(self, attempt: specs.AttemptId) -> None:
        """Send the report of an attempt again at once, if there is one."""
        self.reports.resend_now(attempt, trio.current_time())
        self.reports_changed.set()

    def rebuild_ledger(self) -> None:
        """Replace all reservations with those of the attempts in the table."""
        self._ledger.rebuild(
            tuple(task.to_running_task() for task in self.tasks.values())
        )

    def finish_rebuild(self) -> None:
        """Rebuild the ledger and allow admissions from now on."""
        self.rebuild_ledger()
        self.rebuilt = True
        observability.emit(catalogue.LEDGER_REBUILT, tasks=len(self.tasks))

    def apply_listing(
        self, listing: workers.WorkerTasks, requested_at: float
    ) -> tuple[_local_tasks.Finding, ...]:
        """Update the table from a list of the worker.

        :param listing: the list.
        :param requested_at: local time at which it was requested.
        :returns: findings about starts, to be reported to their owners.
        """
        starts_to_answer: list[_local_tasks.Finding] = []
        adopted = False
        for listed in listing.running:
            task = self.tasks.get(listed.attempt)
            if task is not None and task.worker_state != listed.state:
                self.tasks[listed.attempt] = dataclasses.replace(
                    task, worker_state=listed.state
                )
        for finding in _local_tasks.compare_with_listing(
            self.tasks, listing, requested_at
        ):
            match finding:
                case _local_tasks.ListedRunning(running):
                    if running.attempt in self.tasks:
                        starts_to_answer.append(finding)
                    else:
                        self._adopt(running)
                        adopted = True
                case _local_tasks.ListedEnded(ended):
                    self._record_end(_local_tasks.ended_report(ended))
                case _local_tasks.NotListed(task):
                    self._record_end(
                        _local_tasks.lost_report(
                            task.attempt,
                            task.range_id,
                            'the worker does not know it any more',
                        )
                    )
                case _local_tasks.NotStarted():
                    starts_to_answer.append(finding)
        if adopted and self.rebuilt:
            self.rebuild_ledger()
        return tuple(starts_to_answer)

    def _adopt(self, running: messages.RunningTask) -> None:
        now = trio.current_time()
        self._guard.record(running.attempt, now)
        self.tasks[running.attempt] = _local_tasks.LocalTask(
            running.attempt,
            running.range_id,
            running.spec,
            LocalState.RUNNING,
            now,
            worker_state=running.state,
        )
        observability.emit(catalogue.TASK_ADOPTED, attempt=running.attempt)

    def _record_end(self, report: messages.TaskReport) -> None:
        now = trio.current_time()
        self._guard.record(report.attempt, now)
        if not self.reports.add(report, now):
            return
        self.tasks.pop(report.attempt, None)
        self._requests.discard(report.attempt)
        self._ledger.release(report.attempt)
        observability.emit(
            catalogue.TASK_ENDED, attempt=report.attempt, state=report.state
        )
        self.reports_changed.set()

    def hello_tasks(self) -> tuple[messages.RunningTask, ...]:
        """Return the attempts in the table, and ended ones with a report."""
        ended = tuple(
            messages.RunningTask(
                report.attempt,
                report.range_id,
                _runner_requests.EMPTY_SPEC,
                'ended',
                0.0,
            )
            for report in self.reports.reports()
        )
        return ended + tuple(t.to_running_task() for t in self.tasks.values())

    def reserved_by_team(self) -> tuple[messages.TeamReservation, ...]:
        """Return the reserved resources of each team."""
        by_team: dict[identifiers.TeamName, resources.Resources] = {}
        for task in self.tasks.values():
            reserved_before = by_team.get(
                task.spec.team, resources.Resources()
            )
            by_team[task.spec.team] = reserved_before + task.spec.resources
        return tuple(
            messages.TeamReservation(team, amount)
            for team, amount in by_team.items()
        )
