"""Scheduler of an entry: runs the job shards that the entry owns."""

import collections.abc
import dataclasses
import itertools
import random
import time
import typing

import trio

from citronrail import errors
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import rows as rows_model
from citronrail.model import specs
from citronrail import observability
from citronrail.observability.catalogue import scheduling as catalogue
from citronrail.ports import peers
from citronrail.scheduling import _cancellation
from citronrail.scheduling import _candidates
from citronrail.scheduling import _capped_sizes
from citronrail.scheduling import _context
from citronrail.scheduling import _document_task
from citronrail.scheduling import _inbox
from citronrail.scheduling import _interfaces
from citronrail.scheduling import _job_changes
from citronrail.scheduling import _ownership
from citronrail.scheduling import _policies
from citronrail.scheduling import _ramps
from citronrail.scheduling import _reservations
from citronrail.scheduling import _rows
from citronrail.scheduling import _shard_runner
from citronrail.scheduling import _shard_state
from citronrail.scheduling import _task_cancel

_NO_SUCCESSOR = identifiers.NodeId('')
RELOAD_DELAY_S = 0.5
RAMP_UPDATE_INTERVAL_S = 0.5

# Its argument is the range that coordination passes to ownership listeners.
DocumentFactory = collections.abc.Callable[
    [typing.Any], _interfaces.ShardDocument
]


class JobScheduler:
    """Schedules the job shards of the ranges that this entry owns.

    It implements the listener interface of range ownership: register it with
    ``RangeOwnership.add_listener``.

    :param hub: connections to agents and entries.
    :param settings: the latest settings and the time of their confirmation.
    :param agents: last known states of the agents.
    :param ranges: looks up the ranges that are owned now.
    :param make_document: creates the shard document of an owned range.
    :param policies: placement, quotas, health, pressure and estimates.
    :param range_of: range of a job id or service name.
    :param rng: source of the order in which workers are sampled.
    :param wall_clock: Unix time in seconds.
    :param limits: limits of a round.
    """

    def __init__(
        self,
        hub: peers.PeerHub,
        settings: _interfaces.SettingsView,
        agents: _interfaces.AgentsView,
        ranges: _interfaces.RangeLookup,
        make_document: DocumentFactory,
        policies: _policies.Policies,
        range_of: collections.abc.Callable[[str], identifiers.RangeId],
        rng: random.Random,
        wall_clock: collections.abc.Callable[[], float] = time.time,
        limits: _context.Limits | None = None,
    ) -> None:
        limits = limits or _context.Limits()
        estimator = _capped_sizes.CappedEstimator(
            policies.estimator,
            lambda: (view.capacity for view in agents.agents()),
        )
        policies = dataclasses.replace(policies, estimator=estimator)
        self._ranges = ranges
        self._make_document = make_document
        self._context = _context.Context(
            hub,
            settings,
            agents,
            policies,
            range_of,
            rng,
            wall_clock,
            limits,
            _reservations.Reservations(),
            _context.FleetUsage(),
            {},
        )
        self._runners: dict[
            identifiers.RangeId, _shard_runner.ShardRunner
        ] = {}
        self._shard_scopes: dict[identifiers.RangeId, trio.CancelScope] = {}
        self._nursery: trio.Nursery | None = None
        self._acquired_before_run: list[typing.Any] = []
        for kind in (
            messages.StartReply,
            messages.TaskReport,
            messages.TaskQueryReply,
        ):
            hub.subscribe(kind, self._on_task_message)
        hub.subscribe(messages.Hello, self._on_hello)
        hub.subscribe(messages.UsageReport, self._on_usage_report)

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for owned in self._acquired_before_run:
                nursery.start_soon(self._run_owned_shard, owned)
            self._acquired_before_run.clear()
            task_status.started()
            while True:
                self._update_ramps()
                await trio.sleep(RAMP_UPDATE_INTERVAL_S)

    async def drain(self) -> None:
        """Commit the reports received so far and stop starting tasks."""
        async with trio.open_nursery() as nursery:
            for runner in self._runners.values():
                nursery.start_soon(runner.drain)

    # Listener interface of range ownership

    async def acquired(self, owned: typing.Any) -> None:
        """Start running the shard of a range."""
        if self._nursery is None:
            self._acquired_before_run.append(owned)
        else:
            self._nursery.start_soon(self._run_owned_shard, owned)

    async def releasing(
        self, owned: typing.Any, successor: identifiers.NodeId = _NO_SUCCESSOR
    ) -> None:
        """Commit the reports received so far, then stop running the shard."""
        del successor
        runner = self._runners.get(owned.range_id)
        if runner is not None:
            await runner.drain()
        await self.lost(owned.range_id)

    async def commits_lost(self, owned: typing.Any) -> None:
        """Stop the shard; without a store lease nothing can be committed."""
        await self.lost(owned.range_id)

    async def lost(self, range_id: identifiers.RangeId) -> None:
        """Stop the shard of a range."""
        scope = self._shard_scopes.get(range_id)
        if scope is not None:
            scope.cancel()

    async def _run_owned_shard(self, owned: typing.Any) -> None:
        """Run a shard until its ownership ends, reloading it after errors."""
        ownership = _ownership.Ownership(
            owned.range_id, owned.fencing, self._ranges
        )
        previous_scope = self._shard_scopes.get(owned.range_id)
        if previous_scope is not None:
            previous_scope.cancel()
        with trio.CancelScope() as scope:
            self._shard_scopes[owned.range_id] = scope
            while ownership.deadline > trio.current_time():
                reason = await self._load_and_run(owned, ownership)
                observability.emit(
                    catalogue.SHARD_STOPPED,
                    range=owned.range_id,
                    reason=reason,
                )
                await trio.sleep(RELOAD_DELAY_S)
        if self._shard_scopes.get(owned.range_id) is scope:
            del self._shard_scopes[owned.range_id]

    async def _load_and_run(
        self, owned: typing.Any, ownership: _ownership.Ownership
    ) -> str:
        """Load the shard and run it.

        :returns: why it stopped; it is loaded again if it is still owned.
        """
        document = self._make_document(owned)
        runner = None
        reason = 'the ownership ended'
        try:
            async with trio.open_nursery() as nursery:
                loaded = trio.Event()
                nursery.start_soon(
                    _document_task.run_document,
                    document,
                    loaded,
                    nursery.cancel_scope,
                )
                await loaded.wait()
                runner = _shard_runner.ShardRunner(
                    ownership, document, self._context
                )
                self._runners[owned.range_id] = runner
                await runner.run()
                await trio.sleep_forever()  # drained; wait for the release
        except* errors.CitronrailError as group:
            reason = str(group.exceptions[0])
        finally:
            if runner and self._runners.get(owned.range_id) is runner:
                del self._runners[owned.range_id]
        return reason

    # Commands

    async def submit(
        self, spec: specs.JobSpec, command_id: identifiers.CommandId
    ) -> identifiers.RangeId:
        """Add a job; it is durable when this returns.

        :param spec: the job.
        :param command_id: identity of the command, which makes it idempotent.
        :returns: the range that owns the job.
        :raises citronrail.errors.CommandRefused: if the job is not accepted
            or this entry doesn't own the range.
        :raises citronrail.errors.StoreError: if the commit failed.
        """
        fleet_sizes = _candidates.FleetSizes(self._context.agents.agents())
        refusal = fleet_sizes.refusal(spec.resources, spec.data_centres)
        if refusal is not None:
            observability.emit(
                catalogue.JOB_REFUSED, job=spec.job_id, reason=refusal.reason
            )
            raise errors.CommandRefused(
                refusal.reason, step='scheduling.submit'
            )
        runner = self._runner_for_owner(spec.job_id)
        await runner.submit(spec, command_id)
        observability.emit(
            catalogue.JOB_SUBMITTED,
            cause=command_id,
            job=spec.job_id,
            team=spec.team,
            tasks=spec.task_count,
        )
        return runner.owned.range_id

    async def cancel(
        self,
        predicate: _job_changes.JobPredicate,
        command_id: identifiers.CommandId,
        reason: str = 'cancelled by command',
    ) -> _cancellation.CancelResult:
        """Cancel the matching jobs of all owned ranges.

        :param predicate: selects the jobs to cancel.
        :param command_id: identity of the command, which makes it idempotent.
        :param reason: shown with the jobs.
        :returns: number of tasks that had not ended, and the failed ranges.
        """
        return await self._cancel_in_owned_ranges(
            lambda runner: runner.cancel(predicate, command_id, reason),
            command_id,
        )

    async def cancel_tasks(
        self,
        predicate: _task_cancel.TaskPredicate,
        command_id: identifiers.CommandId,
        reason: str = 'cancelled by command',
    ) -> _cancellation.CancelResult:
        """Cancel single tasks of jobs, but no replicas, in all owned ranges.

        :param predicate: called with the row of a task that has not ended.
        :param command_id: identity of the command, which makes it idempotent.
        :param reason: shown with the attempts that are stopped.
        :returns: number of cancelled tasks, and the failed ranges.
        """
        return await self._cancel_in_owned_ranges(
            lambda runner: runner.cancel_tasks(predicate, command_id, reason),
            command_id,
        )

    async def _cancel_in_owned_ranges(
        self, cancel: _cancellation.CancelShard, command_id: str
    ) -> _cancellation.CancelResult:
        # Shards that are still being loaded may hold matching jobs.
        loading = [n for n in self._shard_scopes if n not in self._runners]
        return await _cancellation.cancel_in_shards(
            tuple(self._runners.values()), loading, cancel, command_id
        )

    async def resume(self, job_id: identifiers.JobId) -> None:
        """Allow a parked job to start tasks again.

        :raises citronrail.errors.CommandRefused: if no owned shard has it.
        :raises citronrail.errors.StoreError: if the commit failed.
        """
        runner = self._runner_for_owner(job_id)
        if job_id not in runner.state.groups:
            raise errors.CommandRefused(
                f'job {job_id} is not known', step='scheduling.resume'
            )
        await runner.resume(job_id)
        observability.emit(catalogue.JOB_RESUMED, job=job_id)

    def rows(
        self, kind: str
    ) -> tuple[rows_model.JobRow | rows_model.TaskRow, ...]:
        """Return the jobs or tasks of the owned shards as table rows.

        :param kind: ``jobs`` or ``tasks``.
        :returns: the rows.
        :raises ValueError: if there is no such table.
        """
        return tuple(self.iterate_rows(kind))

    def iterate_rows(
        self, kind: str
    ) -> collections.abc.Iterator[rows_model.JobRow | rows_model.TaskRow]:
        """Iterate over the rows of :meth:`rows`, created one at a time.

        They describe the shards at the time of the call.
        """
        return itertools.chain.from_iterable(
            [
                _rows.rows(runner.state, kind, runner.blocked)
                for _, runner in sorted(self._runners.items())
            ]
        )

    def owned_ranges(self) -> tuple[identifiers.RangeId, ...]:
        """Return the ranges whose shards are loaded."""
        return tuple(sorted(self._runners))

    def _runner_for_owner(self, owner: str) -> _shard_runner.ShardRunner:
        range_id = self._range_for_owner(owner)
        runner = self._runners.get(range_id)
        if runner is None:
            raise errors.CommandRefused(
                f'range {range_id} is not owned by this entry',
                step='scheduling',
            )
        return runner

    def _range_for_owner(self, owner: str) -> identifiers.RangeId:
        return self._context.range_of(
            owner.removeprefix(_shard_state.SERVICE_PREFIX)
        )

    # Messages of agents

    async def _on_task_message(
        self, peer: peers.Peer, message: typing.Any, _: bytes
    ) -> None:
        match message:
            case messages.StartReply():
                range_id = self._range_for_owner(message.attempt.task.owner)
            case _:
                range_id = message.range_id
        runner = self._runners.get(range_id)
        if runner is not None:
            runner.deliver(_inbox.AgentMessage(peer.node_id, message))

    async def _on_hello(
        self, peer: peers.Peer, hello: messages.Hello, _: bytes
    ) -> None:
        if peer.role != 'agent':
            return
        for range_id, runner in self._runners.items():
            range_tasks = tuple(
                t for t in hello.tasks if t.range_id == range_id
            )
            runner.deliver(
                _inbox.AgentMessage(
                    peer.node_id, dataclasses.replace(hello, tasks=range_tasks)
                )
            )

    async def _on_usage_report(
        self, peer: peers.Peer, report: messages.UsageReport, _: bytes
    ) -> None:
        now = trio.current_time()
        self._context.usage.by_node[peer.node_id] = report.reserved
        usage = tuple(
            dataclasses.replace(
                item, measured_at=now - (report.clock - item.measured_at)
            )
            for item in report.usage
        )
        for observer in self._context.policies.observers:
            observer.observe_usage(peer.node_id, usage, now)

    def _update_ramps(self) -> None:
        shares = _ramps.ramps(
            self._context.settings.settings,
            self._context.limits,
            self._context.wall_clock(),
        )
        _ramps.report(self._context.ramps, shares, self._context.limits)
        self._context.ramps.clear()
        self._context.ramps.update(shares)
        known = {view.node_id for view in self._context.agents.agents()}
        by_node = self._context.usage.by_node
        for node in [node for node in by_node if node not in known]:
            del by_node[node]
