"""Starting attempts at the worker, and telling owners the outcome."""

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

START_TIMEOUT_S = 2.0  # the worker gets at most this long to begin a start
WORKER_LEASE_S = 10.0


class TaskStarter:
    """Checks, admits and starts attempts.

    :param hub: connections to the entries.
    :param link: the worker.
    :param table: attempts on this host.
    :param guard: which starts to refuse.
    :param permits: what entries have told this agent.
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
        """Decide on a start and reserve its resources.

        :param owner: entry that gets the reply.
        :param start: the message.
        :returns: True if :meth:`start` shall be called.
        """
        now = trio.current_time()
        if self._guard.is_fenced(start.range_id, start.fencing):
            return False
        if self._guard.already_seen(start.attempt):
            # A doubled message. What the first one led to is told by its
            # reply, by a report, or on a query.
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
        :returns: False if the outcome is open until a list settles it.
        """
        clock = self._link.clock
        if clock is None:
            raise RuntimeError('accepted a start before the first list')
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
            catalogue.TASK_START_UNCONFIRMED,
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
        """Tell owners what a list of the worker says of open starts."""
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
        """Note that an attempt runs and tell its owner."""
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
        """Release an attempt that was not started and tell its owner."""
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
    """Send a message that the receiver asks for again if it is missing."""
    try:
        await hub.send(peer, message)
    except errors.PeerUnreachable:
        return
