"""Tests of the mitigation of pressure by batch tasks."""

from hypothesis import given
from hypothesis import strategies as st

from citronrail.model import identifiers
from citronrail.model import specs
from citronrail.scheduling import _pressure as pressure

CFG = pressure.PressureSettings()


def _task(index, **fields):
    return pressure.PressureTask(specs.TaskId('plan', index), **fields)


SERVICE = pressure.PressureTask(
    specs.TaskId('service:seats', 0), identifiers.ServiceName('seats')
)


def _host(slowdown, tasks, memory=0.5, name='w0'):
    return pressure.HostPressure(
        identifiers.NodeId(name), slowdown, memory, (SERVICE, *tasks)
    )


def _run(slowdowns, tasks):
    state = pressure.PressureState()
    actions_taken = []
    for now, slowdown in enumerate(slowdowns):
        state, actions = pressure.relieve(
            state, [_host(slowdown, tasks)], float(now), CFG
        )
        actions_taken += [(now, item) for item in actions]
    return actions_taken


def test_tasks_are_throttled_before_any_is_evicted():
    """Guards against evicting tasks where throttling is sufficient."""
    actions_taken = _run([5.0] * 40, [_task(0), _task(1)])
    kinds = [type(item) for _, item in actions_taken]
    assert kinds[0] is pressure.Throttle
    assert pressure.Evict in kinds


def test_short_peak_causes_no_action():
    """Guards against reacting to a single measurement."""
    assert _run([1.0, 9.0, 9.0, 1.0, 9.0, 1.0] * 10, [_task(0)]) == []


def test_limit_is_lifted_only_after_a_lasting_recovery():
    """Guards against oscillation between throttling and lifting."""
    tasks = [_task(0, throttled=True)]
    assert _run([1.8] * 100, tasks) == []
    lifted = _run([1.0] * 20, tasks)
    assert lifted[0][0] == CFG.calm_s
    assert lifted[0][1].share == 1.0


@given(
    slowdowns=st.lists(
        st.lists(st.floats(1.0, 10.0), min_size=20, max_size=20),
        min_size=1,
        max_size=60,
    ),
    memory=st.floats(0.0, 1.2),
)
def test_eviction_rate_is_limited_and_excludes_services(slowdowns, memory):
    """Guards against evicting most batch tasks of the fleet."""
    state = pressure.PressureState()
    tasks = [_task(index) for index in range(3)]
    evicted = []
    for now, row in enumerate(slowdowns):
        hosts = [
            _host(value, tasks, memory, f'w{index}')
            for index, value in enumerate(row)
        ]
        state, actions = pressure.relieve(state, hosts, float(now), CFG)
        assert all(item.task != SERVICE.task for item in actions)
        evicted += [now for a in actions if isinstance(a, pressure.Evict)]
        recent = [at for at in evicted if at > now - 60.0]
        assert len(recent) <= CFG.max_evictions_a_minute


def test_task_with_the_least_lost_work_is_evicted_first():
    """Guards against losing hours of work to save seconds."""
    tasks = [
        _task(0, lost_s=900.0, checkpointable=False),
        _task(1, lost_s=5.0, checkpointable=False),
        _task(2, priority=specs.Priority.URGENT),
    ]
    actions_taken = _run([9.0] * 20, tasks)
    evicted = [a for _, a in actions_taken if isinstance(a, pressure.Evict)]
    assert evicted[0].task.index == 1


def test_full_memory_evicts_without_delay():
    """Guards against a delay that lets the host run out of memory."""
    _, actions = pressure.relieve(
        pressure.PressureState(), [_host(1.0, [_task(0)], 0.99)], 0.0, CFG
    )
    assert isinstance(actions[0], pressure.Evict)
