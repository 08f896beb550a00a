"""Tests that commands run once, at their owner, with a correct outcome."""

import hypothesis
from hypothesis import strategies as st
import pytest
import trio
import trio.testing

from citronrail.language.tests import fakes
from citronrail.model import messages
from citronrail.model import outcome
from citronrail.model import ranges

DONE = outcome.Outcome.DONE
NOT_RUN = outcome.Outcome.NOT_RUN
UNKNOWN = outcome.Outcome.UNKNOWN
TEAM = 'change team h quota cores 32 memory 100GB'


def _run(scenario, *args, count=3):
    """Run a scenario with several entries on an autojump clock."""

    async def main():
        network = fakes.Network(count)
        with trio.fail_after(1000):
            async with trio.open_nursery() as nursery:
                await nursery.start(network.run)
                reply = await network.execute('e0', 'team', TEAM)
                assert reply.outcome is DONE
                await scenario(network, *args)
                nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def _job_of(owner, count=3):
    """Return a job name whose range is owned by an entry."""
    number = int(owner[1:])
    return next(
        f'job-{index}'
        for index in range(1000)
        if ranges.range_of(f'job-{index}') % count == number
    )


def _start(name, tasks=1):
    return f'start job {name} team h class c tasks {tasks}'


def test_job_is_started_once_at_its_owner():
    """Guards against a retried command that is executed twice."""

    async def scenario(network):
        for owner in network.names:
            text = _start(_job_of(owner))
            first = await network.execute('e0', f'c-{owner}', text)
            again = await network.execute('e0', f'c-{owner}', text)
            other = await network.execute('e1', f'c-{owner}', text)
            assert first.outcome is again.outcome is other.outcome is DONE
            assert first.message == again.message == other.message
            assert network.shards[owner].submissions == [f'c-{owner}']
        reply = await network.execute('e1', 'other', _start(_job_of('e2')))
        assert reply.outcome is NOT_RUN
        assert 'exists already' in reply.message

    _run(scenario)


def test_command_is_retried_after_a_lost_reply():
    """Guards against a repeated or misreported command after a lost reply."""

    async def scenario(network):
        network.lost = {('e1', messages.CommandReply)}
        text = _start(_job_of('e1'))
        reply = await network.execute('e0', 'c', text)
        assert reply.outcome is UNKNOWN
        assert 'e1' in reply.message
        network.lost = set()
        assert (await network.execute('e2', 'c', text)).outcome is DONE
        assert network.shards['e1'].submissions == ['c']

    _run(scenario)


def test_unreachable_owner_means_not_run_until_it_is_replaced():
    """Guards the outcome while an owner is unreachable and after takeover."""

    async def scenario(network):
        network.cuts = {'e1'}
        name = _job_of('e1')
        reply = await network.execute('e0', 'c1', _start(name))
        assert reply.outcome is NOT_RUN

        async def take_over():
            await trio.sleep(7)
            for number in network.owned_by('e1'):
                network.owners[number] = 'e2'

        async with trio.open_nursery() as nursery:
            nursery.start_soon(take_over)
            reply = await network.execute('e0', 'c2', _start(name))
        assert reply.outcome is DONE
        assert network.shards['e2'].submissions == ['c2']

    _run(scenario)


def test_outcome_is_unknown_after_the_owner_failed_during_a_command():
    """Guards against ``not run`` for a command that may have run."""

    async def scenario(network):
        network.shards['e1'].delay_s = 1.0

        async def kill():
            await trio.sleep(0.5)
            network.cuts = {'e1'}

        async with trio.open_nursery() as nursery:
            nursery.start_soon(kill)
            reply = await network.execute('e0', 'c', _start(_job_of('e1')))
        assert reply.outcome is UNKNOWN

    _run(scenario)


def test_commit_slower_than_the_deadline_is_unknown():
    """Guards against ``not run`` for a commit still in progress."""

    async def scenario(network):
        for entry in ('e0', 'e1'):
            network.shards[entry].delay_s = 30.0
            reply = await network.execute('e0', entry, _start(_job_of(entry)))
            assert reply.outcome is UNKNOWN

    _run(scenario)


def test_stop_job_distinguishes_missing_and_ended_jobs():
    """Guards the replies for a missing, a running and an ended job."""

    async def scenario(network):
        name = _job_of('e1')
        await network.execute('e0', 'start', _start(name))
        reply = await network.execute('e0', 'no', f'stop job {name}x')
        assert reply.outcome is NOT_RUN
        reply = await network.execute('e0', 'stop', f'stop job {name}')
        assert (reply.outcome, reply.message) == (
            DONE,
            f'job "{name}" stopped, 1 tasks cancelled',
        )
        reply = await network.execute('e2', 'stop2', f'stop job {name}')
        assert 'ended already' in reply.message

    _run(scenario)


def test_cancellation_covers_all_owners():
    """Guards a batch over all ranges whose retries return the same count."""

    async def scenario(network):
        for owner in network.names:
            text = _start(_job_of(owner), 2000)
            await network.execute('e0', f's-{owner}', text)
        text = 'cancel tasks where team = h and state = pending'
        for entry in ('e0', 'e0', 'e1'):
            reply = await network.execute(entry, 'c', text)
            assert (reply.outcome, reply.count) == (DONE, 6000)
        reply = await network.execute('e0', 'q', 'show tasks count by state')
        assert reply.rows == (('cancelled', 6000),)

    _run(scenario)


def test_partial_cancellation_is_unknown_and_can_be_completed():
    """Guards against ``done`` or ``not run`` for a partial cancellation."""

    async def scenario(network):
        for owner in network.names:
            await network.execute('e0', owner, _start(_job_of(owner)))
        network.cuts = {'e2'}
        text = 'cancel jobs where team = h'
        reply = await network.execute('e0', 'c', text)
        assert (reply.outcome, reply.count) == (UNKNOWN, 2)
        network.cuts = set()
        reply = await network.execute('e0', 'c', text)
        assert (reply.outcome, reply.count) == (DONE, 3)

    _run(scenario)


def test_query_reports_missing_parts():
    """Guards against an incomplete table that is reported as complete."""

    async def scenario(network):
        for owner in network.names:
            await network.execute('e0', owner, _start(_job_of(owner), 2))
        text = 'show tasks where team = h order by task desc limit 4'
        complete = await network.execute('e1', 'q', text)
        assert complete.message == ''
        assert len(complete.rows) == 4
        assert [row[0] for row in complete.rows] == sorted(
            (row[0] for row in complete.rows), reverse=True
        )
        network.lost = {('e2', messages.CommandReply)}
        partial = await network.execute('e1', 'q', 'show tasks')
        assert len(partial.rows) == 4
        assert 'no answer of e2' in partial.message
        assert 'ranges 2, 5 are missing' in partial.message
        reply = await network.execute('e1', 'q', 'show requests')
        assert [row[0] for row in reply.rows] == ['r-e0', 'r-e1']
        assert 'no answer of e2' in reply.message

    _run(scenario)


@pytest.mark.parametrize(
    ('fault', 'expected'), [('unavailable', NOT_RUN), ('lost', UNKNOWN)]
)
def test_store_faults_give_the_matching_outcome(fault, expected):
    """Guards ``not run`` and ``unknown`` for configuration commands."""

    async def scenario(network):
        text = 'drain data_centre leon'
        network.store.fault = fault
        reply = await network.execute('e0', 'c', text, 1.0)
        assert reply.outcome is expected
        network.store.fault = None
        await trio.sleep(2)
        reply = await network.execute('e1', 'c', text)
        assert (reply.outcome, reply.settings_version) == (DONE, 2)
        assert network.store.writes == 2

    _run(scenario)


def test_command_id_is_bound_to_one_command():
    """Guards against returning the result of another command."""

    async def scenario(network):
        await network.execute('e0', 'c', 'drain data_centre leon')
        reply = await network.execute('e0', 'c', 'drain data_centre gijon')
        assert reply.outcome is NOT_RUN
        assert 'another command' in reply.message
        for wrong in ('', 'x' * 101, 'a\nb', 'ñ'):
            reply = await network.execute('e0', wrong, 'show teams')
            assert reply.outcome is NOT_RUN

    _run(scenario)


def test_concurrent_duplicates_run_once():
    """Guards against executing a command twice that is sent concurrently."""

    async def scenario(network):
        network.store.delay_s = 1.0
        replies = []

        async def execute(start_s, timeout_s):
            await trio.sleep(start_s)
            replies.append(
                await network.execute('e0', 'c', 'drain worker w1', timeout_s)
            )

        async with trio.open_nursery() as nursery:
            for number, timeout_s in enumerate((10.0, 10.0, 0.5)):
                nursery.start_soon(execute, number / 100, timeout_s)
        assert sorted(r.outcome.value for r in replies) == [
            'done',
            'done',
            'unknown',
        ]
        assert network.store.writes == 2

    _run(scenario)


def test_draining_entry_refuses_new_and_completes_running_commands():
    """Guards against losing commands in progress during a planned stop."""

    async def scenario(network):
        network.store.delay_s = 1.0
        replies = []

        async def execute():
            replies.append(await network.execute('e0', 'c', 'drain worker w1'))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(execute)
            await trio.sleep(0.1)
            await network.services['e0'].drain()
            assert replies[0].outcome is DONE
        reply = await network.execute('e0', 'd', 'drain worker w2')
        assert reply.outcome is NOT_RUN

    _run(scenario)


_COMMANDS = st.sampled_from(
    [
        'drain data_centre leon',
        'return data_centre leon',
        'start service seats team h class gate',
        'start service seats team h class gate replicas 2',
        'change service seats replicas 3',
        'stop service seats',
        'change team h borrow if version 1',
        _start('j1'),
        _start('j1', 2),
        'stop job j1',
        'cancel jobs where team = h',
    ]
)


@hypothesis.given(
    st.lists(
        st.tuples(
            _COMMANDS, st.sampled_from(['e0', 'e1', 'e2']), st.integers(0, 3)
        ),
        min_size=2,
        max_size=6,
    )
)
@hypothesis.settings(max_examples=40)
def test_concurrent_commands_have_one_winner(commands):
    """Guards against no winner, several, or a refusal without a reason."""

    async def scenario(network):
        replies = {}

        async def execute(number, text, entry, start):
            await trio.sleep(start)
            replies[number] = await network.execute(entry, str(number), text)

        network.store.delay_s = 0.5
        async with trio.open_nursery() as nursery:
            for number, (text, entry, start) in enumerate(commands):
                nursery.start_soon(execute, number, text, entry, start)
        applied = {
            c.command_id for c in network.store.settings.recent_commands
        }
        for number, (text, *_) in enumerate(commands):
            reply = replies[number]
            assert reply.outcome in (DONE, NOT_RUN)
            if reply.outcome is NOT_RUN:
                assert reply.message
                assert str(number) not in applied
            elif 'job' not in text:
                assert str(number) in applied
        started = [
            number
            for number, (text, *_) in enumerate(commands)
            if text.startswith('start job') and replies[number].outcome is DONE
        ]
        assert len(started) <= 1
        assert network.store.writes == len(applied)

    _run(scenario)


def test_conflict_names_the_command_that_was_applied():
    """Guards the message for a command refused because of a conflict."""

    async def scenario(network):
        await network.execute('e0', 'a', 'drain data_centre leon')
        stale = network.store.settings
        await network.execute('e0', 'b', 'return data_centre leon')
        network.views['e1'].stale = stale
        reply = await network.execute(
            'e1', 'c', 'drain data_centre leon unseen'
        )
        assert reply.outcome is NOT_RUN
        assert '`return data_centre leon` (command b' in reply.message

    _run(scenario)
