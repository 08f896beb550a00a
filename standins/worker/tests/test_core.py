"""Tests of the worker stand-in, on which other tests rely."""

import json
import pathlib
import subprocess
import sys

import httpx
import pytest

from citronrail import errors
from citronrail.model import identifiers
from citronrail.model import resources
from citronrail.model import specs
from standins import worker as standin

RANGE = identifiers.RangeId(0)
FAR = 1e6


class _Clock:
    now = 0.0

    def __call__(self):
        return self.now


def _core(**fields):
    clock = _Clock()
    cfg = standin.WorkerSettings(
        fields.pop('capacity', resources.Resources(2000, 2000)), **fields
    )
    return standin.WorkerCore(cfg, identifiers.BootId('b'), clock), clock


def _attempt(index):
    return specs.AttemptId(specs.TaskId('plan', index), 1)


def _spec(work_class='plan', **fields):
    return specs.TaskSpec(
        identifiers.TeamName('cantabrico'),
        identifiers.WorkClass(work_class),
        fields.pop('size', resources.Resources(1000, 1000)),
        10.0,
        **fields,
    )


def _start(core, index, spec=None, lease=FAR):
    core.start(_attempt(index), RANGE, spec or _spec(), FAR, lease)


def _ended(core):
    return {t.attempt.task.index: t for t in core.tasks().ended}


def test_co_runners_slow_each_other_down():
    """Guards against ignoring the interference that policies must learn."""
    core, clock = _core(interference={'seats': {'noisy': 1.0}})
    _start(core, 0, _spec('seats'))
    _start(core, 1, _spec('noisy'))
    clock.now = 15.0
    ended = _ended(core)
    # The noisy task ends at 10 s; the other has done half of its work then.
    assert ended[1].run_s == pytest.approx(10.0)
    assert ended[0].run_s == pytest.approx(15.0)


def test_throttled_task_takes_longer():
    """Guards against a throttle without effect."""
    core, clock = _core()
    _start(core, 0)
    core.throttle(_attempt(0), 0.5)
    clock.now = 30.0
    assert _ended(core)[0].run_s == pytest.approx(20.0)


def test_lease_lapses_without_renewal():
    """Guards against tasks that outlive the lease of a lost agent."""
    core, clock = _core()
    _start(core, 0, lease=5.0)
    _start(core, 1, lease=5.0)
    clock.now = 4.0
    core.renew((_attempt(1),), 50.0)
    core.renew((_attempt(1),), 6.0)
    clock.now = 20.0
    ended = _ended(core)
    assert (ended[0].state, ended[0].run_s) == ('stopped', 5.0)
    assert ended[1].state == 'finished'


def test_over_capacity_is_refused_or_recorded():
    """Guards against hiding starts that exceed the capacity of a host."""
    core, _ = _core()
    _start(core, 0)
    _start(core, 1)
    with pytest.raises(errors.WorkerRefused):
        _start(core, 2)
    core.switches = standin.Switches(admit_over_capacity=True)
    _start(core, 2)
    assert len(core.over_capacity) == 1
    assert core.over_capacity[0].reserved.millicores == 3000


def test_late_and_repeated_starts_are_refused():
    """Guards against a start that runs twice or after its deadline."""
    core, clock = _core()
    clock.now = 5.0
    with pytest.raises(errors.WorkerRefused):
        core.start(_attempt(0), RANGE, _spec(), 5.0, FAR)
    _start(core, 0)
    with pytest.raises(errors.WorkerRefused):
        _start(core, 0)


def test_usage_is_delayed_and_reports_actual_size():
    """Guards against usage without the lag and size errors policies face."""
    core, clock = _core(usage_lag_s=3.0, size_factors={'plan': 1.5})
    _start(core, 0)
    clock.now = 2.0
    assert core.usage() == ()
    clock.now = 6.0
    (item,) = core.usage()
    assert item.measured_at <= 3.0
    assert item.usage.memory_mb == 1500


def test_switch_fails_everything():
    """Guards the fault that health checks of workers must detect."""
    core, _ = _core(switches=standin.Switches(fail_everything=True))
    _start(core, 0)
    assert _ended(core)[0].state == 'failed'


def test_process_serves_the_published_protocol(tmp_path: pathlib.Path):
    """Guards the worker process that the demo and the drills start."""
    config = tmp_path / 'worker.json'
    history = tmp_path / 'history.jsonl'
    size = {'millicores': 2000, 'memory_mb': 2000, 'accelerators': 0}
    config.write_text(
        json.dumps({'capacity': size, 'history_file': str(history)})
    )
    process = subprocess.Popen(
        [sys.executable, '-m', 'standins.worker', '--config', str(config)],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    try:
        url = process.stdout.readline().split()[-1]
        info = httpx.get(f'{url}/info').json()
        assert info['capacity'] == size
        attempt = {'task': {'owner': 'rota', 'index': 0}, 'number': 1}
        body = {
            'attempt': attempt,
            'range_id': 0,
            'spec': {
                'team': 'harrowfield',
                'work_class': 'rota',
                'resources': size,
                'declared_run_s': 0.05,
            },
            'start_before': info['clock'] + 60.0,
            'lease_until': info['clock'] + 60.0,
        }
        assert httpx.post(f'{url}/start', json=body).status_code == 200
        assert httpx.post(f'{url}/start', json=body).status_code == 409
        ended = []
        for _ in range(200):
            ended = httpx.get(f'{url}/tasks').json()['ended']
            if ended:
                break
        answer = httpx.post(f'{url}/admin/switches', json={'hang': False})
        assert answer.json()['hang'] is False
        records = httpx.get(f'{url}/admin/history').json()['history']
        assert [r['event'] for r in records] == ['start', 'finished']
        assert ended[0]['attempt'] == attempt
    finally:
        process.terminate()
        assert process.wait(20) == 0
