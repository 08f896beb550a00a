"""Tests of placement rounds at the target size."""

import random
import time

import trio
import trio.testing

from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import resources
from citronrail.model import settings as settings_model
from citronrail.model import specs
from citronrail.model import views
from citronrail import scheduling
from citronrail.scheduling import _context
from citronrail.scheduling import _job_changes
from citronrail.scheduling import _reservations
from citronrail.scheduling import _round
from citronrail.scheduling import _shard_state
from citronrail.scheduling.tests import _cluster

CAPACITY = resources.Resources(64_000, 250_000, 2)


class _Agents:
    """Agents of the target size, half full."""

    def __init__(self, count, rng) -> None:
        self._views = tuple(
            views.AgentView(
                identifiers.NodeId(f'host{number}'),
                identifiers.BootId('b'),
                identifiers.DataCentreName(f'dc{number % 8}'),
                f'rack{number // 3}',
                CAPACITY,
                resources.Resources(rng.randrange(64_000), 125_000, 1),
                messages.AgentLoad(),
                (),
                trio.current_time(),
            )
            for number in range(count)
        )

    def agents(self):
        return self._views

    def quiet_spans(self, node_id):
        return ()


class _Settings:
    settings = settings_model.Settings()
    fresh_at = float('inf')


def _context_of(agents, rng):
    return _context.Context(
        None,
        _Settings(),
        agents,
        scheduling.default_policies(),
        lambda name: 0,
        rng,
        lambda: 2e6,
        scheduling.Limits(),
        _reservations.Reservations(),
        _context.FleetUsage(),
        {},
    )


def _pending(jobs, tasks):
    state = _shard_state.ShardState()
    order = list(specs.Priority)
    for number in range(jobs):
        spec = _cluster.job(
            f'job{number}',
            tasks,
            size=resources.Resources(2_000 + number, 4_000),
            priority=order[number % 3],
        )
        state = _job_changes.submit_job(state, spec, f'c{number}', 1.0)
    return state


async def test_round_is_fast_at_the_target_size(autojump_clock):
    """Guards against rounds whose time grows with tasks times agents."""
    rng = random.Random(5)
    context = _context_of(_Agents(800, rng), rng)
    state = _pending(500, 30)
    started_at = time.perf_counter()
    plan = await _round.plan_round(state, context)
    # It takes about 0.03 s on an idle machine; the bound only detects a
    # change in the order of growth.
    assert time.perf_counter() - started_at < 10.0
    assert len(plan.assignments) == context.limits.starts_a_round
    urgent = {
        group.owner
        for group in state.groups.values()
        if group.job.priority is specs.Priority.URGENT
    }
    assert all(item.task.owner in urgent for item in plan.assignments)


async def test_round_overcommits_no_host(autojump_clock):
    """Guards against assigning the same free resources twice."""
    rng = random.Random(6)
    agents = _Agents(20, rng)
    context = _context_of(agents, rng)
    state = _pending(40, 30)
    plan = await _round.plan_round(state, context)
    reserved = {}
    for item in plan.assignments:
        size = state.groups[item.task.owner].resources
        before = reserved.get(item.node, resources.Resources())
        reserved[item.node] = before + size
    free = {view.node_id: view.free for view in agents.agents()}
    assert plan.assignments
    assert all(used.fits_in(free[node]) for node, used in reserved.items())
