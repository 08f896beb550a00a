"""Starts attempts at the worker and replies to their owners."""

import dataclasses

import trio

from citronrail import errors
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import outcome as outcomes
from citronrail.model import specs
from citronrail import observability
from citronrail.observability.catalogue import scheduling as catalogue
from citronrail.ports import peers
from citronrail.scheduling import _interfaces
from citronrail.scheduling import _local_tasks
from citronrail.scheduling import _metrics
from citronrail.scheduling import _start_guard
from citronrail.scheduling import _task_table
from citronrail.scheduling import _worker_link

LocalState = _local_tasks.LocalState

START_TIMEOUT_S = 2.0  # then the worker refuses a start call
WORKER_LEASE_S = 10.0


class TaskStarter:
    """Checks, admits and starts attempts.

    :param hub: connections to the entries.
    :param link: the worker.
    :param table: attempts on this host.
    :param guard: checks that a start is valid.
    :param permits: settings and permits received from entries.
    """

    def __init__(
        self,
        hub: peers.PeerHub,
        link: _worker_link.WorkerLink,
        table: _task_table.TaskTable,
        guard: _start_guard.StartGuard,
        permits: _interfaces.PermitView,
    ) -> None:
        self._hub = hub
        self._link = link
        self._table = table
        self._guard = guard
        self._permits = permits
        self.draining = False

    async def accept(
        self, owner: identifiers.NodeId, start: messages.StartTask
    ) -> bool:
        """Check a start and reserve its resources.

        :param owner: entry that gets the reply.
        :param start: the message.
        :returns: True if :meth:`start` is to be called.
        """
        now = trio.current_time()
        if self._guard.is_fenced(start.range_id, start.fencing):
            return False
        if self._guard.already_seen(start.attempt):
            # Duplicate message: the owner learns the outcome of the first one
            # from its reply, from a report or by a query.
            return False
        self._guard.record(start.attempt, now)
        reason = self._refusal(start, now)
        if reason:
            await self._refuse(owner, start.attempt, reason)
            return False
        self._table.add(
            _local_tasks.LocalTask(
                start.attempt,
                start.range_id,
                start.spec,
                LocalState.STARTING,
                now,
                owner=owner,
            )
        )
        return True

    def _refusal(self, start: messages.StartTask, now: float) -> str:
        if self.draining:
            return 'agent is leaving'
        if not self._table.rebuilt:
            return 'agent is still reading the list of its worker'
        if not self._link.is_responsive(now):
            return 'worker does not answer'
        reason = self._guard.refusal(start, self._permits, now)
        if reason:
            return reason
        return self._table.admit(start.attempt, start.spec.resources)

    async def start(self, start: messages.StartTask) -> bool:
        """Start an accepted attempt at the worker.

        :param start: the message.
        :returns: False if a list of the worker has to be requested now.
        """
        clock = self._link.clock
        if clock is None:
            raise RuntimeError('start accepted before the worker was listed')
        now = trio.current_time()
        deadline = min(
            start.start_before,
            self._permits.permit_until,
            now + START_TIMEOUT_S,
        )
        task = dataclasses.replace(
            self._table.tasks[start.attempt],
            start_before=clock.to_worker(deadline),
        )
        self._table.add(task)
        try:
            await self._link.start(
                lambda: self._link.port.start(
                    start.attempt,
                    start.range_id,
                    start.spec,
                    task.start_before,
                    clock.to_worker(now + WORKER_LEASE_S),
                )
            )
        except errors.WorkerRefused as exc:
            if self._table.is_starting(start.attempt):
                lost = isinstance(exc, errors.CheckpointUnknown)
                await self.report_unstarted(task, exc.message, lost)
        except errors.CitronrailError as exc:
            return not self._mark_outcome_unknown(task, exc.message)
        else:
            if self._table.is_starting(start.attempt):
                await self.confirm_start(task)
        return True

    def _mark_outcome_unknown(
        self, task: _local_tasks.LocalTask, reason: str
    ) -> bool:
        observability.emit(
            catalogue.TASK_START_NOT_CONFIRMED,
            attempt=task.attempt,
            reason=reason,
        )
        if not self._table.is_starting(task.attempt):
            return False
        self._table.set_state(task.attempt, LocalState.UNKNOWN)
        return True

    async def resolve_starts(
        self, findings: tuple[_local_tasks.Finding, ...]
    ) -> None:
        """Reply to owners whose undecided starts a list has resolved."""
        for finding in findings:
            match finding:
                case _local_tasks.ListedRunning(running):
                    task = self._table.tasks.get(running.attempt)
                    if task and task.state is not LocalState.RUNNING:
                        await self.confirm_start(task)
                case _local_tasks.NotStarted(task) if (
                    task.attempt in self._table.tasks
                ):
                    await self.report_unstarted(
                        task, 'the worker did not start it'
                    )
                case _:
                    pass

    async def confirm_start(self, task: _local_tasks.LocalTask) -> None:
        """Mark an attempt as running and reply to its owner."""
        self._table.set_state(task.attempt, LocalState.RUNNING)
        _metrics.STARTS_HANDLED.labels('started').inc()
        observability.emit(catalogue.TASK_STARTED, attempt=task.attempt)
        await self._reply(
            task.owner,
            messages.StartReply(task.attempt, outcomes.Outcome.DONE),
        )

    async def report_unstarted(
        self,
        task: _local_tasks.LocalTask,
        reason: str,
        checkpoint_lost: bool = False,
    ) -> None:
        """Release an attempt that was not started and reply to its owner."""
        self._table.release_unstarted(task.attempt)
        await self._refuse(task.owner, task.attempt, reason, checkpoint_lost)

    async def _refuse(
        self,
        owner: identifiers.NodeId,
        attempt: specs.AttemptId,
        reason: str,
        checkpoint_lost: bool = False,
    ) -> None:
        _metrics.STARTS_HANDLED.labels('refused').inc()
        observability.emit(
            catalogue.TASK_REFUSED, attempt=attempt, reason=reason
        )
        await self._reply(
            owner,
            messages.StartReply(
                attempt, outcomes.Outcome.NOT_RUN, reason, checkpoint_lost
            ),
        )

    async def _reply(
        self, owner: identifiers.NodeId, reply: messages.StartReply
    ) -> None:
        if owner:
            await send_best_effort(self._hub, owner, reply)


async def send_best_effort(
    hub: peers.PeerHub, peer: identifiers.NodeId, message: object
) -> None:
    """Send a message, ignoring failures: the receiver queries for it."""
    try:
        await hub.send(peer, message)
    except errors.PeerUnreachable:
        return
