"""Tests that the history checks detect violations in records."""

import hypothesis
from hypothesis import strategies as st
import pytest

from citronrail.model import resources
from drills import _history
from drills import _records
from standins import task_history

INF = float('inf')
CAPACITY = resources.Resources(4000, 1000, 1)


def _run(
    started: float,
    ended: float = INF,
    *,
    index: int = 0,
    worker: str = 'w1',
    event: str = 'finished',
    resumed: str = '',
    checkpoint: str = '',
    owner: str = 'plan',
) -> task_history.Run:
    return task_history.Run(
        worker,
        'leicester',
        owner,
        index,
        1,
        started,
        ended,
        event,
        resumed,
        checkpoint,
    )


def _call(
    key: str,
    outcome: str = 'done',
    answer: _records.ResponseKind = _records.ResponseKind.COMPLETE,
) -> _records.Call:
    return _records.Call(key, 'seats', 'e', 0.0, 1.0, 200, outcome, answer)


def _ran(
    key: str, started: float = 0.0, ended: float = 1.0, host: str = 'h'
) -> _records.BackendRun:
    return _records.BackendRun(host, key, started, ended)


@pytest.mark.parametrize(
    ('size', 'overfull'),
    [
        (resources.Resources(2000, 100, 0), 0),
        (resources.Resources(2001, 100, 0), 1),
        (resources.Resources(100, 501, 0), 1),
        (resources.Resources(100, 100, 1), 1),
    ],
)
def test_host_over_capacity_is_found(
    size: resources.Resources, overfull: int
) -> None:
    """Guards against a check that ignores one kind of resource."""
    runs = [
        _run(0.0, 4.0),
        _run(1.0, 5.0, index=1),
        _run(5.0, 9.0, index=2),
        _run(1.0, 5.0, index=3, worker='w2'),
    ]
    full = _history.measure_peak_usage(runs, {'plan': size}, CAPACITY)
    assert full.overfull == overfull
    assert (full.share > 1.0) == bool(overfull)


def test_overlap_with_earlier_long_run_is_found() -> None:
    """Guards against comparing a run only with its direct predecessor."""
    runs = [
        _run(0.0, 10.0),
        _run(1.0, 2.0, worker='w2'),
        _run(5.0, 6.0, worker='w3'),
        _run(10.0, 11.0, worker='w2'),
    ]
    assert _history.count_concurrent_task_runs(runs) == 2
    assert _history.count_concurrent_task_runs(runs[2:]) == 0


def test_active_run_overlaps_until_worker_is_killed() -> None:
    """Guards against missed or false overlaps after a worker was killed."""
    runs = [_run(0.0, event='running'), _run(5.0, 6.0, worker='w2')]
    assert _history.count_concurrent_task_runs(runs) == 1
    dead = _history.end_runs_at_kill(runs, {'w1': (3.0,)})
    assert _history.count_concurrent_task_runs(dead) == 0
    late = _history.end_runs_at_kill(runs, {'w1': (5.5,)})
    assert _history.count_concurrent_task_runs(late) == 1


def test_lock_held_twice_is_found() -> None:
    """Guards against missing concurrent runs of exclusive requests."""
    runs = [_ran('a', 0.0, 2.0), _ran('a', 1.0, 3.0, 'h2'), _ran('b', 1.0)]
    assert _history.count_concurrent_key_runs(runs, {'a', 'b'}) == 1
    assert _history.count_concurrent_key_runs(runs, {'b'}) == 0


def test_lost_and_duplicated_tasks_are_found() -> None:
    """Guards against counting unfinished attempts as finished."""
    runs = [
        _run(0.0, 1.0, index=0),
        _run(2.0, 3.0, index=0, worker='w2'),
        _run(0.0, 1.0, index=1, event='stopped'),
        _run(0.0, 1.0, index=2),
    ]
    assert _history.count_lost_and_duplicated(runs, {'plan': 3}) == (1, 1)


def test_wrong_resumes_are_found() -> None:
    """Guards against missing lost checkpoints or repeated resumes."""
    evicted = _run(0.0, 1.0, event='checkpointed', checkpoint='c')
    once = _run(2.0, 3.0, resumed='c')
    again = _run(4.0, 5.0, resumed='c')
    stopped = _run(2.0, 3.0, resumed='c', event='stopped')
    assert _history.count_wrong_resumes([evicted]) == (1, 0)
    assert _history.count_wrong_resumes([evicted, once]) == (0, 0)
    assert _history.count_wrong_resumes([evicted, once, again]) == (0, 1)
    assert _history.count_wrong_resumes([evicted, stopped, again]) == (0, 0)
    assert _history.count_wrong_resumes([evicted, stopped]) == (1, 0)


def test_late_start_is_measured_by_worker_or_data_centre() -> None:
    """Guards against counting starts outside the drain time or location."""
    runs = [_run(9.0, 10.0), _run(12.5, 13.0), _run(21.0, 22.0)]
    latest = _history.last_start_delay
    assert latest(runs, {'leicester'}, 10.0, 20.0) == 2.5
    assert latest(runs, {'w1'}, 10.0, 20.0) == 2.5
    assert latest(runs, {'w2'}, 10.0, 20.0) == 0.0


def test_wrong_responses_to_callers_are_found() -> None:
    """Guards against missing false "not run" reports or wrong responses."""
    problem = _records.ResponseKind.ERROR_STATUS
    calls = [
        _call('a'),
        _call('b', 'not run', problem),
        _call('c', 'not run', problem),
        _call('d', 'unknown', problem),
        _call('e'),
        _call('f', answer=_records.ResponseKind.MISMATCHED),
        _call('g', answer=_records.ResponseKind.TRUNCATED),
    ]
    runs = [_ran('a'), _ran('b'), _ran('d'), _ran('f'), _ran('g')]
    assert _history.false_not_run(calls, runs) == ('b',)
    assert _history.answered_without_run(calls, runs) == ('e',)
    assert _history.count_wrong_responses(calls) == (1, 1)


def test_repeated_run_and_late_request_are_found() -> None:
    """Guards against missing repeated runs or requests after leaving."""
    runs = [_ran('a', 1.0), _ran('a', 5.0, host='h2'), _ran('b', 4.0)]
    assert _history.keys_run_twice(runs, {'a', 'b'}) == ('a',)
    assert _history.keys_run_twice(runs, {'b'}) == ()
    assert _history.last_run_delay(runs, 'h', 2.0, 9.0) == 2.0
    assert _history.last_run_delay(runs, 'h', 2.0, 3.0) == 0.0


@hypothesis.given(
    st.lists(
        st.tuples(st.integers(0, 30), st.integers(1, 10)),
        min_size=1,
        max_size=8,
    )
)
def test_overlaps_agree_with_counting_pairs(
    spans: list[tuple[int, int]],
) -> None:
    """Guards against overlap detection that depends on record order."""
    runs = [_run(float(at), float(at + took)) for at, took in spans]
    ordered = sorted((run.started, run.ended) for run in runs)
    pairs = any(
        later[0] < earlier[1]
        for n, earlier in enumerate(ordered)
        for later in ordered[n + 1 :]
    )
    assert bool(_history.count_concurrent_task_runs(runs)) == pairs


def test_verdict_needs_tries_and_no_violation() -> None:
    """Guards against a drill that passes without any tries."""
    verdicts = [
        _records.Result('p', '0', _records.Figures(*figures)).verdict.value
        for figures in (
            (5, 0, ''),
            (0, 0, ''),
            (5, 0, '', False),
            (5, 1, '', False),
        )
    ]
    assert verdicts == ['held', 'not proved', 'not proved', 'fell short']
