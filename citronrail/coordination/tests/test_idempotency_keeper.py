"""Tests of the key records of a range: no key runs twice.

Variants of the keeper without one of the safety mechanisms must fail the same
check.
"""

import dataclasses
import uuid

import hypothesis
from hypothesis import strategies as st
import pytest

from citronrail import coordination
from citronrail.coordination import _key_records
from citronrail.model import messages
from citronrail.model import outcome as outcomes
from citronrail.model import ranges

UNIX = 1.8e9
LEASE_S = 5.0
HOLD_S = 20.0
LIMITS = coordination.KeeperLimits(takeover_hold_s=HOLD_S)


def make_key(unix, number=0):
    """Return a UUIDv7 created at a Unix time."""
    value = (int(unix * 1000) << 80) | (7 << 76) | (2 << 62) | number
    return str(uuid.UUID(int=value))


def reserve_message(key='', exclusive='', request='r1', at=0.0, **fields):
    values = {'fingerprint': 'f', 'hold_s': HOLD_S, 'finish_before': at + 30}
    return messages.ReserveKey(
        request, 0, key, exclusive, **{**values, **fields}
    )


def complete_message(request, key='', exclusive='', outcome='done', **fields):
    ended = fields.pop('ended', True)
    return messages.CompleteKey(
        request, 0, key, exclusive, outcomes.Outcome(outcome), ended, **fields
    )


@dataclasses.dataclass
class Simulation:
    """Successive owners of one range and the runs that they granted."""

    naive: str = ''
    now: float = 0.0
    skew: float = 0.0
    keeper: coordination.IdempotencyKeeper = None
    owned_until: float = LEASE_S
    keys: dict = dataclasses.field(default_factory=dict)
    runs: dict = dataclasses.field(default_factory=dict)
    exclusive_runs: list = dataclasses.field(default_factory=list)
    open: list = dataclasses.field(default_factory=list)
    violations: list = dataclasses.field(default_factory=list)
    requests: int = 0

    def __post_init__(self):
        self.keeper = coordination.IdempotencyKeeper(0, self.limits())

    def limits(self):
        changes = {
            'no exclusive hold': {'takeover_hold_s': 0.0},
            'no skew allowed': {'entry_skew_s': 0.0},
        }
        return dataclasses.replace(LIMITS, **changes.get(self.naive, {}))

    def moment(self):
        return coordination.Moment(self.now, UNIX + self.now + self.skew)

    def request(self, name, fresh, caller_skew, exclusive, start_delay):
        if fresh or name not in self.keys:
            self.requests += 1
            created_at = UNIX + self.now + caller_skew
            self.keys[name] = make_key(created_at, self.requests)
        key = self.keys[name]
        self.requests += 1
        request = f'r{self.requests}'
        msg = reserve_message(key, exclusive, request, self.now)
        reply = self.keeper.reserve(msg, self.moment(), self.owned_until).reply
        if reply.verdict == 'not run' and self.runs.get(key):
            self.violations.append('false not run')
        start = self.now + start_delay
        if reply.verdict == 'granted' and start < reply.start_before:
            self.runs[key] = self.runs.get(key, 0) + 1
            if self.runs[key] > 1:
                self.violations.append('doubled')
            self.open.append((request, key, exclusive, start))

    def end(self, index, how):
        """End the open run at an index, with or without a report."""
        if not self.open:
            return
        request, key, exclusive, start = self.open.pop(index % len(self.open))
        ended = how != 'lost' and start <= self.now
        # A run never exceeds its granted time.
        until = min(self.now, start + HOLD_S) if ended else start + HOLD_S
        if exclusive:
            self.exclusive_runs.append((exclusive, start, until))
        if how != 'lost':
            msg = complete_message(
                request,
                key,
                exclusive,
                'done' if ended else 'unknown',
                ended=ended,
                status=200,
            )
            self.keeper.complete(msg, b'ok', self.moment())

    def crash(self, skew):
        self.now = max(self.now, self.owned_until)
        self.skew = skew
        taken_over = None if self.naive == 'no floor' else self.moment()
        self.keeper = coordination.IdempotencyKeeper(
            0, self.limits(), taken_over
        )
        self.owned_until = self.now + LEASE_S

    def hand_over(self, skew, complete, lag_s):
        records = self.keeper.handover(self.moment())
        if self.naive == 'forgets the takeover':
            records = [r for r in records if r.kind != 'takeover']
        self.skew = skew
        self.now += lag_s
        successor = coordination.IdempotencyKeeper(
            0, self.limits(), self.moment()
        )
        if not complete:
            self.now = max(self.now, self.owned_until)
            successor = coordination.IdempotencyKeeper(
                0, self.limits(), self.moment()
            )
            records = records[: len(records) // 2]
        successor.restore(records, self.moment(), complete)
        self.keeper = successor
        self.owned_until = self.now + LEASE_S

    def set_lease(self, seconds, skew):
        self.owned_until = self.now + seconds
        self.skew = skew

    def pass_time(self, seconds):
        self.now += seconds
        self.owned_until = self.now + LEASE_S

    def finish(self):
        while self.open:
            self.end(0, 'lost')
        runs = sorted(self.exclusive_runs)
        for (name, _, until), (other, start, _) in zip(runs, runs[1:]):
            if name == other and start < until:
                self.violations.append('exclusive runs overlap')
        return self.violations


NAMES = st.sampled_from('abc')
SKEWS = st.floats(-0.99, 0.99)
STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.just('request'),
            NAMES,
            st.booleans(),
            st.floats(-3, 3),
            st.sampled_from(['', '', 'seat']),
            st.floats(0, 6),
        ),
        st.tuples(
            st.just('end'),
            st.integers(0, 5),
            st.sampled_from(['told', 'told', 'lost']),
        ),
        st.tuples(st.just('crash'), SKEWS),
        st.tuples(st.just('hand_over'), SKEWS, st.booleans(), st.floats(0, 2)),
        st.tuples(
            st.just('pass_time'),
            st.one_of(st.floats(0, 30), st.floats(590, 610)),
        ),
    ),
    max_size=40,
)


def _run_steps(steps, naive=''):
    simulation = Simulation(naive)
    for name, *args in steps:
        getattr(simulation, name)(*args)
    return simulation.finish()


@hypothesis.settings(max_examples=500)
@hypothesis.given(STEPS)
def test_no_key_runs_twice(steps):
    """Guards against duplicate runs across crashes, handovers and retries."""
    assert _run_steps(steps) == []


ONCE = ('request', 'a', True, 0.0, '', 0.0)
AGAIN = ('request', 'a', False, 0.0, '', 0.0)
SEAT = ('request', 'a', True, 0.0, 'seat', 4.0)
NEXT = ('request', 'b', True, 3.5, 'seat', 0.0)
NAIVE = {
    'no floor': [ONCE, ('crash', 0.0), AGAIN],
    'forgets the takeover': [
        ONCE,
        ('crash', 0.0),
        ('hand_over', 0.0, True, 0.0),
        AGAIN,
    ],
    'no exclusive hold': [
        SEAT,
        ('crash', 0.0),
        ('pass_time', 5.0),
        ('request', 'b', True, 0.0, 'seat', 0.0),
    ],
    # The short lease ensures that waiting for it does not hide the skew.
    'no skew allowed': [
        ('set_lease', 0.01, 0.99),
        ('request', 'a', True, 2.9, '', 0.0),
        ('crash', -0.99),
        ('pass_time', 2.0),
        AGAIN,
    ],
}


@pytest.mark.parametrize('naive', sorted(NAIVE))
def test_missing_keeper_mechanism_is_detected(naive):
    """Checks that the test above detects each missing mechanism."""
    assert _run_steps(NAIVE[naive], naive) != []
    assert _run_steps(NAIVE[naive]) == []


def _keeper(**limits):
    return coordination.IdempotencyKeeper(
        0, dataclasses.replace(LIMITS, **limits)
    )


def _reserve(keeper, msg, at=0.0):
    now = coordination.Moment(at, UNIX + at)
    return keeper.reserve(msg, now, at + LEASE_S)


def test_verdicts():
    """Guards the verdicts on repeated requests."""
    keeper, key = _keeper(), make_key(UNIX)
    first = _reserve(keeper, reserve_message(key))
    assert first.reply.verdict == 'granted'
    assert first.reply.start_before == LEASE_S
    lost_reply = _reserve(keeper, reserve_message(key), 1.0)
    assert lost_reply.reply.verdict == 'granted'
    assert lost_reply.reply.start_before == LEASE_S
    other = reserve_message(key, request='r2')
    assert _reserve(keeper, other).reply.verdict == 'in progress'
    wrong = reserve_message(key, request='r2', fingerprint='g')
    assert _reserve(keeper, wrong).reply.verdict == 'conflict'
    assert _reserve(keeper, other, 29.0).reply.verdict == 'unknown'
    done = complete_message('r1', key, status=201, headers=(('a', 'b'),))
    now = coordination.Moment(1.0, UNIX + 1.0)
    assert keeper.complete(done, b'body', now)
    stored = _reserve(keeper, other)
    assert (stored.reply.verdict, stored.reply.status) == ('done', 201)
    assert stored.body == b'body' and stored.reply.headers == (('a', 'b'),)


def test_key_that_was_not_run_may_run():
    """Guards retries after an agent confirmed that it refused."""
    keeper, key = _keeper(), make_key(UNIX)
    now = coordination.Moment(0.0, UNIX)
    _reserve(keeper, reserve_message(key, 'seat'))
    keeper.complete(complete_message('r1', key, 'seat', 'not run'), b'', now)
    again = reserve_message(key, 'seat', request='r2')
    assert _reserve(keeper, again).reply.verdict == 'granted'
    # A late completion of the former grant has no effect.
    keeper.complete(complete_message('r1', key, 'seat'), b'', now)
    third = reserve_message(key, 'seat', request='r3')
    assert _reserve(keeper, third).reply.verdict == 'in progress'


@pytest.mark.parametrize(
    'key, verdict',
    [
        ('not a uuid', 'not run'),
        (str(uuid.UUID(int=4 << 76)), 'not run'),
        (make_key(UNIX + 2.5), 'not run'),
        (make_key(UNIX + 1.5), 'granted'),
        (make_key(UNIX - 599), 'granted'),
        (make_key(UNIX - 601), 'unknown'),
    ],
)
def test_age_of_keys(key, verdict):
    """Guards against accepting keys whose records may be dropped."""
    assert _reserve(_keeper(), reserve_message(key)).reply.verdict == verdict


def test_passed_deadlines_are_refused():
    """Guards against a grant by a process resumed after a pause."""
    keeper = _keeper()
    msg = reserve_message(make_key(UNIX), finish_before=1.0)
    now = coordination.Moment(2.0, UNIX)
    assert keeper.reserve(msg, now, 9.0).reply.verdict == 'not run'
    assert keeper.reserve(msg, now, 2.0).reply.verdict == 'not owner'


def test_full_table_refuses_and_recovers():
    """Guards the owner's memory against an excess of keys."""
    keeper = _keeper(max_records=10, lifetime_s=60.0)
    verdicts = [
        _reserve(keeper, reserve_message(make_key(UNIX, n))).reply.verdict
        for n in range(12)
    ]
    assert verdicts == ['granted'] * 10 + ['not run'] * 2
    late = reserve_message(make_key(UNIX + 70, 99), at=70.0)
    assert _reserve(keeper, late, 70.0).reply.verdict == 'granted'
    assert len(keeper) == 1


def test_stored_answers_are_bounded():
    """Guards the owner's memory against large answers."""
    keeper = _keeper(max_answer_bytes=10, max_stored_bytes=25)
    now = coordination.Moment(0.0, UNIX)
    keys = [make_key(UNIX, n) for n in range(4)]
    for key, size in zip(keys, (11, 10, 10, 10)):
        _reserve(keeper, reserve_message(key))
        keeper.complete(
            complete_message('r1', key, status=200), b'x' * size, now
        )
    kept = [
        _reserve(keeper, reserve_message(key, request='r2')) for key in keys
    ]
    assert [reservation.reply.verdict for reservation in kept] == ['done'] * 4
    assert [len(reservation.body) for reservation in kept] == [0, 0, 10, 10]
    assert kept[0].reply.status == 0 and kept[0].reply.reason


@hypothesis.given(STEPS)
def test_handover_keeps_every_record(steps):
    """Guards records against loss or change in the handover messages."""
    simulation = Simulation()
    for name, *args in steps:
        getattr(simulation, name)(*args)
    keeper, now = simulation.keeper, simulation.moment()
    handed = keeper.handover(now)
    batch = messages.KeyHandover(0, 1, handed, True)
    received = messages.unpack(messages.pack(batch))
    successor = coordination.IdempotencyKeeper(0, LIMITS)
    successor.restore(received.records, now, complete=True)
    assert keeper.sealed and len(successor) == len(keeper)
    sealed = keeper.reserve(reserve_message(make_key(UNIX)), now, 1e9)
    assert sealed.reply.verdict == 'not owner'
    for place, record in keeper._records.items():
        other = successor._records[place]
        assert (record.verdict, record.answer) == (other.verdict, other.answer)
        assert other.run_ends_at >= record.run_ends_at or (
            record.run_ends_at <= now.local
        )
        if place[0] == _key_records.IDEMPOTENCY:
            assert other.forget_unix >= record.forget_unix - 1e-6


def test_resume_after_refused_handover():
    """Guards a range whose successor left during the handover."""
    keeper, key = _keeper(), make_key(UNIX)
    _reserve(keeper, reserve_message(key))
    keeper.handover(coordination.Moment(0.0, UNIX))
    keeper.resume()
    other = reserve_message(key, request='r2')
    assert _reserve(keeper, other).reply.verdict == 'in progress'


@hypothesis.given(st.text())
def test_every_key_has_one_range(key):
    """Guards against components that map a key to different ranges."""
    assert coordination.range_of is ranges.range_of
    assert 0 <= coordination.range_of(key) < coordination.RANGE_COUNT
    assert coordination.range_of('a') == 2
