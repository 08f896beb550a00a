"""Tests of the decision whether crashes show that a task causes them."""

import dataclasses

import pytest

from citronrail.model import messages
from citronrail.model import workflows
from citronrail import observability
from citronrail.observability.catalogue import workflow as events
from citronrail.workflow import _crashes
from citronrail.workflow import _documents as documents
from citronrail.workflow import _interference
from citronrail.workflow import _job
from citronrail.workflow import _metrics as metrics
from citronrail.workflow import _reports
from citronrail.workflow import _round
from citronrail.workflow import _scheduler_state
from citronrail.workflow.tests import _cluster

TOKEN = 9
JOB = '00000000000000b1'
BORN_MS = 1_700_000_000_000
NOW = 100.0
UNIX_NOW = BORN_MS / 1000 + 10.0


def _crash(number, sole, with_agent=False):
    return documents.CrashRecord(
        f'w{number}', number, f'a{number}', sole, with_agent
    )


@pytest.mark.parametrize(
    ('sole', 'proved'),
    [
        ((True, True), False),
        ((False, True, True), False),
        ((False, False, True), False),
        ((True, True, True), False),
        ((False, False, False, False), False),
        ((True, True, True, True), False),
        ((False, False, False, False, False), True),
        ((False, True, True, True, True), True),
    ],
    ids=[
        'two crashes may be a coincidence',
        'two of three point to it',
        'one of three points to it',
        'three point to it',
        'four crashes among others',
        'four point to it',
        'no further start is allowed',
        'no further start is allowed, four point to it',
    ],
)
def test_proof_needs_all_starts_that_are_allowed(sole, proved):
    """Guards against giving good work up, or a start beyond the last."""
    crashes = [_crash(number, item) for number, item in enumerate(sole)]
    assert _crashes.is_proved(crashes) is proved


@pytest.mark.parametrize(
    ('crashes', 'with_agent', 'proved'),
    [(0, 5, False), (1, 4, False), (2, 3, True), (0, 15, True)],
    ids=[
        'hosts fail',
        'one crash beside hosts that fail',
        'two losses of hosts fell together with crashes',
        'the task may bring hosts down',
    ],
)
def test_losses_of_whole_hosts_prove_little(crashes, with_agent, proved):
    """Guards against good work given up where hosts lose power in series."""
    records = [
        _crash(number, False, number >= crashes)
        for number in range(crashes + with_agent)
    ]
    assert _crashes.is_proved(records) is proved


@pytest.mark.parametrize(
    ('incarnations', 'seen', 'with_agent'),
    [(1, False, True), (1, True, False), (2, False, False), (0, False, False)],
    ids=[
        'the agent began with the next incarnation',
        'the agent saw the end and was lost later',
        'the agent has seen both incarnations',
        'the agent does not tell',
    ],
)
def test_loss_of_the_agent_is_recorded(incarnations, seen, with_agent):
    """Guards against good work that is charged with a loss of its host."""
    play = _Play()
    play.incarnations = incarnations
    task = play.start('a0')
    play.now += 0.1
    recorder = observability.Recorder('e0')
    observability.use_recorder(recorder)
    play.lose('a0', seen=seen)
    assert [crash.with_agent for crash in task.crashes] == [with_agent]
    reasons = [
        item.fields['reason']
        for item in recorder.records()
        if item.number == events.CRASH_UNCLEAR.number
    ]
    assert ('its agent was lost as well' in reasons) is with_agent


@pytest.mark.parametrize(
    ('assigned_s_before', 'lasted', 'suspected'),
    [(1.0, False, True), (60.0, False, False), (1.0, True, False)],
    ids=['just assigned', 'assigned long before', 'lasted'],
)
def test_successor_counts_crashes_that_it_did_not_see(
    assigned_s_before, lasted, suspected
):
    """Guards against a crash that falls between two schedulers.

    The worker is back under another ID before the successor hears of it. A
    run that the predecessor had seen for a while did not crash it.
    """
    state = _scheduler_state.SchedulerState(lambda name: _cluster.QUEUE)
    attempt = documents.AttemptRecord(
        1, 'a0', 'w0', 1, BORN_MS / 1000 - assigned_s_before, lasted
    )
    task = documents.TaskRecord(last_run=1, attempts=(attempt,))
    state.progress[JOB] = documents.ProgressRecord(
        'running', stages=((task,),)
    )
    record = documents.JobRecord(JOB, 'q', 'pool', 0.0, _cluster.one_step())
    state.add_job(record, NOW, UNIX_NOW)
    reports = _reports.Reports(state, workflows.Bounds(), TOKEN)
    life = messages.WorkerLife(
        'w1', BORN_MS, 'pool', 'dc', 'ready', 4000, 8000, 0
    )
    report = messages.WorkerReport(TOKEN, life, clock_ms=1000)
    reports.take('a0', report, NOW, UNIX_NOW)
    (task,) = state.jobs[JOB].stages[0].tasks
    assert task.waiting
    assert bool(task.crashes) is suspected
    assert state.jobs[JOB] in state.dirty  # stored before the next start


def test_crashes_are_stored_with_the_progress():
    """Guards against a count that a restart of all entries forgets."""
    task = documents.TaskRecord(crashes=(_crash(1, True),))
    progress = documents.ProgressRecord('running', stages=((task,),))
    data = documents.encode(progress)
    assert documents.decode(data, documents.ProgressRecord) == progress


def test_progress_of_earlier_versions_is_read():
    """Guards against losing jobs that were stored before an update."""
    old = (
        'running',
        0.0,
        (
            (
                (
                    False,
                    1,
                    0,
                    '',
                    (((1, 'a0', 'w0', 7),)),
                ),
            ),
        ),
    )
    progress = documents.decode(
        documents.encode(old), documents.ProgressRecord
    )
    (task,) = progress.stages[0]
    assert (task.crashes, task.attempts[0].assigned_at) == ((), 0.0)


def test_runs_that_lasted_are_stored_as_such():
    """Guards against a successor that takes each run for new.

    With the leader replaced every few seconds, good work on hosts that lost
    power was charged with each of these losses.
    """
    job = _job.Job(
        documents.JobRecord(JOB, 'q', 'pool', 0.0, _cluster.one_step()), NOW
    )
    (task,) = job.stages[0].tasks
    job.started = job.begun = True  # a run that has lasted was listed
    task.last_run = 1
    attempt = _job.Attempt(task, 1, 'a0', 'w0', 1)
    task.attempts.append(attempt)
    attempt.lasted = True
    restored = _job.Job(job.record, NOW)
    restored.restore(job.progress())
    (inherited,) = restored.attempts()
    assert inherited.lasted
    assert restored.progress() == job.progress()


class _Play:
    """Jobs of one task on workers that are lost, seen through reports."""

    def __init__(self, nodes=('a0', 'a1', 'a2')) -> None:
        self.state = _scheduler_state.SchedulerState(
            lambda name: _cluster.QUEUE
        )
        self.reports = _reports.Reports(self.state, workflows.Bounds(), TOKEN)
        self.now = NOW
        self.incarnations = 0
        self.born = dict.fromkeys(nodes, 1)
        for node in nodes:
            self.report(node)

    def report(self, node, **fields) -> None:
        """Let an agent report its worker's present life."""
        life = messages.WorkerLife(
            node, self.born[node], 'pool', 'dc', 'ready', 4000, 8000, 0
        )
        report = messages.WorkerReport(
            TOKEN,
            life,
            clock_ms=int(self.now * 1000),
            incarnations=self.incarnations,
        )
        if fields.get('unreachable'):
            report = messages.WorkerReport(0, life, unreachable=True)
        elif fields:
            report = dataclasses.replace(report, **fields)
        self.reports.take(node, report, self.now, UNIX_NOW + self.now)

    def start(self, node, job_id=JOB) -> _job.Task:
        """Start the task of a job on the worker of an agent."""
        record = documents.JobRecord(
            job_id, 'q', 'pool', 0.0, _cluster.one_step()
        )
        self.state.add_job(record, self.now, UNIX_NOW)
        (task,) = self.state.jobs[job_id].stages[0].tasks
        task.last_run += 1
        attempt = _job.Attempt(
            task, task.last_run, node, node, self.born[node]
        )
        attempt.ordered = True
        attempt.order_sent_at = self.now
        task.attempts.append(attempt)
        self.state.workers[node].attempts[attempt.key] = attempt
        return task

    def list_runs(self, node) -> None:
        """Let the worker of an agent list its runs."""
        rows = tuple(
            messages.RunRow(name, number, '', 0, 0.0)
            for name, number in self.state.workers[node].attempts
        )
        self.report(node, running=rows)

    def lose(self, node, *, seen=True, down_s=1.0) -> None:
        """Lose the worker of an agent, which sees it at once or not at all."""
        if seen:
            self.report(node, unreachable=True)
        self.now += down_s
        self.born[node] += 1
        self.report(node)


@pytest.mark.parametrize('seen', [True, False], ids=['seen', 'unseen'])
def test_only_a_seen_loss_points_to_a_task(seen):
    """Guards against blaming a task for a loss that nobody saw.

    Where the agent is lost with its worker, or restarts at the same time, the
    run may have lasted until shortly before the worker came back.
    """
    play = _Play()
    task = play.start('a0')
    play.now += 0.1
    play.lose('a0', seen=seen)
    assert [crash.sole for crash in task.crashes] == [seen]


@pytest.mark.parametrize('seen', [True, False], ids=['seen', 'unseen'])
def test_run_that_is_listed_right_before_the_crash_is_counted(seen):
    """Guards against more starts than BUDGET allows.

    In 2 of 16 plays with the leader replaced, a task that crashes its worker
    10 ms after its start was listed in between, and its crash not counted.
    """
    play = _Play()
    task = play.start('a0')
    play.now += 0.005
    play.list_runs('a0')
    play.lose('a0', seen=seen)
    assert len(task.crashes) == 1


def test_silence_after_the_last_start_that_is_allowed():
    """Guards against a sixth start of a task that crashes its workers.

    In one of 36 plays with a replaced leader, the fifth worker was silent
    until its lease had expired, and the task was started again (BUDGET).
    """
    play = _Play()
    task = play.start('a0')
    task.crashes = tuple(_crash(number, False) for number in range(4))
    play.now += 60.0
    play.reports.expire_leases(play.now)
    assert len(task.crashes) == 5
    assert not task.stage.job.open
    assert task.stage.job.ended_at == UNIX_NOW + play.now


@pytest.mark.parametrize(
    ('listed_s', 'cleared'),
    [(0.4, False), (0.6, True)],
    ids=['just listed', 'listed for as long as a start may crash a worker'],
)
def test_run_that_lasted_clears_its_task(listed_s, cleared):
    """Guards against charging a task with losses that its runs outlasted.

    On hosts that lose power again and again, most runs last for a second or
    two, so that no loss is due to their start.
    """
    play = _Play()
    task = play.start('a0')
    task.crashes = (_crash(1, True), _crash(2, False))
    play.list_runs('a0')
    play.now += listed_s
    play.list_runs('a0')
    assert (not task.crashes) is cleared
    play.lose('a0')
    assert not task.crashes or not cleared


@pytest.mark.parametrize(
    ('up_s', 'sole'),
    [(0.5, False), (10.0, True)],
    ids=['lost shortly before', 'settled'],
)
def test_only_a_sound_host_gives_evidence(up_s, sole):
    """Guards against blaming a task for a worker that flaps."""
    play = _Play()
    play.lose('a0')
    play.now += up_s
    task = play.start('a0')
    play.lose('a0')
    assert [crash.sole for crash in task.crashes] == [sole]


def test_one_host_is_no_proof():
    """Guards against giving up work that one unstable host has lost."""
    crashes = [
        documents.CrashRecord('w0', number, 'a0', True) for number in range(4)
    ]
    assert not _crashes.is_proved(crashes)


@pytest.mark.parametrize(
    ('lost', 'expected'),
    [
        (('a0',), ('a1', 'a2')),
        (('a0', 'a1', 'a2'), ('a0', 'a1', 'a2')),
    ],
    ids=['another host is sound', 'none is sound'],
)
def test_suspected_task_starts_on_a_sound_host(lost, expected):
    """Guards against a worker that flaps and draws the same task each time.

    A worker that has just come back has the fewest runs. Where all have, the
    task starts at once.
    """
    play = _Play()
    for number, node in enumerate(('a1', 'a2')):
        play.start(node, f'{number:016x}')
        play.list_runs(node)
    play.now += 5.0
    for node in lost:
        play.lose(node, down_s=0.1)
    for node in set(play.born) - set(lost):
        play.list_runs(node)
    task = play.start('a0')
    play.state.remove_run(task.attempts[0])
    task.crashes = (_crash(1, True), _crash(2, False))
    task.retry_at = play.now
    policy = _round.Policy(
        lambda name: _cluster.QUEUE, frozenset(), _interference.PairFactors()
    )
    placed = _round.place(play.state, policy, play.now, UNIX_NOW)
    nodes = [item.node for item in placed if item.task is task]
    assert nodes and set(nodes) <= set(expected)


@pytest.mark.parametrize(
    ('listed_s', 'waited_s', 'starts'),
    [
        (0.1, 0.0, False),
        (0.1, 0.9, False),
        (0.6, 0.0, True),
        (0.1, 1.3, True),
    ],
    ids=['only listed', 'waited for less', 'lasted', 'waited'],
)
def test_suspected_task_starts_once_another_has_lasted(
    listed_s, waited_s, starts
):
    """Guards against good work that is charged with crashes of a deadly task.

    In the soak (seed 223) two sound tasks were given up after five crashes
    each, always beside the same deadly one, which started on their worker as
    soon as they were listed there; in others (seed 323), 0.13 s later
    at most.
    """
    play = _Play(('a0',))
    policy = _round.Policy(
        lambda name: _cluster.QUEUE, frozenset(), _interference.PairFactors()
    )

    def suspect(job_id) -> _job.Task:
        task = play.start('a0', job_id)
        play.state.remove_run(task.attempts[0])
        task.crashes = (_crash(1, True), _crash(2, False))
        task.retry_at = play.now
        return task

    def place() -> list[_job.Task]:
        placed = _round.place(play.state, policy, play.now, UNIX_NOW)
        for attempt in placed:
            attempt.ordered = True
            attempt.order_sent_at = play.now
        return [attempt.task for attempt in placed]

    first = suspect('1' * 16)
    assert place() == [first]
    play.list_runs('a0')
    play.now += listed_s
    play.list_runs('a0')
    second = suspect('2' * 16)
    second.retry_at -= waited_s
    assert place() == [second] * starts


@pytest.mark.parametrize(
    ('waited_s', 'starts'),
    [(1.6, False), (2.3, True)],
    ids=['waits for a worker without new runs', 'waited long enough'],
)
def test_suspected_task_does_not_wait_for_ever(waited_s, starts):
    """Guards against 3 s without a run where each worker has new runs."""
    play = _Play()
    for number, node in enumerate(play.born):
        play.start(node, f'{number:016x}')
    task = play.start('a0')
    play.state.remove_run(task.attempts[0])
    task.crashes = (_crash(1, True), _crash(2, False))
    task.retry_at = play.now - waited_s
    policy = _round.Policy(
        lambda name: _cluster.QUEUE, frozenset(), _interference.PairFactors()
    )
    placed = _round.place(play.state, policy, play.now, UNIX_NOW)
    assert [item.task is task for item in placed] == [True] * starts


def _count_failed(cause) -> float:
    sample = metrics.JOBS_FAILED.labels(cause).collect()[0].samples[0]
    return sample.value


def test_log_tells_why_a_task_is_suspected_and_given_up():
    """Guards against jobs shown as failed without a line that says why."""
    recorder = observability.Recorder('e0')
    observability.use_recorder(recorder)
    before = _count_failed('crashes')
    play = _Play()
    task = play.start('a0')
    play.lose('a0', seen=False)
    play.state.remove_run(task.attempts[0])
    task.crashes = tuple(_crash(number, False) for number in range(4))
    play.start('a1')
    play.lose('a1')
    records = {item.number: item.fields for item in recorder.records()}
    unclear = records[events.CRASH_UNCLEAR.number]
    assert unclear['reason'] == 'it was not seen to follow a start'
    failed = records[events.JOB_FAILED.number]
    assert (failed['job'], failed['evidence']) == (JOB, 'crashes')
    assert failed['detail'] == f'5 crashes under {task.name}'
    assert _count_failed('crashes') == before + 1


@pytest.mark.parametrize('repeated', [False, True], ids=['once', 'repeated'])
def test_ends_are_counted_once(repeated):
    """Guards against a job that fails for one end that was listed twice.

    A worker lists an end until it is acknowledged, also to an agent that was
    restarted in between and to the next scheduler.
    """
    before = _count_failed('runs')
    play = _Play()
    for number in range(1, _cluster.QUEUE.max_attempts + 1):
        task = play.start('a0')
        assert task.stage.job.open
        end = messages.EndRow(number, task.name, number, 'failed', '')
        play.report('a0', ended=(end,))
        if repeated:
            play.report('a0', ended=(end,))
            successor = _Play()
            record = task.stage.job.record
            successor.state.progress[JOB] = task.stage.job.progress()
            successor.state.add_job(record, NOW, UNIX_NOW)
            successor.report('a0', ended=(end,))
            (restored,) = successor.state.jobs[JOB].stages[0].tasks
            assert restored.failures == task.failures
    assert task.failures == _cluster.QUEUE.max_attempts
    assert not task.stage.job.open
    assert _count_failed('runs') == before + 1


@pytest.mark.parametrize('lasted', [False, True], ids=['new', 'lasted'])
def test_inherited_run_on_a_worker_that_stays_away_is_counted(lasted):
    """Guards against a crash that no scheduler counts (BUDGET).

    The scheduling entry is replaced after the crash, and the worker isn't
    heard of until the leases of its runs have expired.
    """
    play = _Play(nodes=('a1',))
    attempt = documents.AttemptRecord(1, 'a0', 'w0', 1, UNIX_NOW, lasted)
    record = documents.TaskRecord(
        last_run=1,
        attempts=(attempt,),
        crashes=tuple(_crash(number, False) for number in range(4)),
    )
    play.state.progress[JOB] = documents.ProgressRecord(
        'running', stages=((record,),)
    )
    spec = _cluster.one_step()
    play.state.add_job(
        documents.JobRecord(JOB, 'q', 'pool', 0.0, spec), NOW, UNIX_NOW
    )
    play.state.inherited_end_at = NOW + 10.0
    play.reports.expire_leases(NOW + 11.0)
    assert play.state.jobs[JOB].failed is not lasted


@pytest.mark.parametrize(
    ('listed_ms', 'applied_s', 'cleared'),
    [(100, 5.0, False), (5000, 0.1, True)],
    ids=['the second list waited', 'the first list waited'],
)
def test_run_lasts_between_the_times_of_its_lists(
    listed_ms, applied_s, cleared
):
    """Guards against wrong charges by a scheduler that applies lists late.

    A run that had lasted for 5 s was charged with the loss of its worker, as
    both lists were applied at once; a run of 0.1 s cleared its task.
    """
    play = _Play()
    task = play.start('a0')
    task.crashes = (_crash(1, True), _crash(2, False))
    row = messages.RunRow(task.name, 1, '', 0, 0.0)
    first_ms = int(play.now * 1000)
    play.report('a0', running=(row,), clock_ms=first_ms)
    play.now += applied_s
    play.report('a0', running=(row,), clock_ms=first_ms + listed_ms)
    assert (not task.crashes) is cleared
