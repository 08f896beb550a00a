"""Tests of query evaluation."""

import random

import hypothesis
from hypothesis import strategies as st
import pytest

from citronrail import errors
from citronrail import language
from citronrail.language import _query
from citronrail.language import _tables
from citronrail.model import rows

ROWS = st.lists(
    st.builds(
        rows.TaskRow,
        task=st.integers(0, 10**6).map('t/{}'.format),
        job=st.sampled_from(['a', 'b', 'c d']),
        team=st.just('h'),
        work_class=st.sampled_from(['x', 'y']),
        state=st.sampled_from(['running', 'pending']),
        attempt=st.integers(0, 3),
        since_at=st.none() | st.floats(0, 9),
        reason=st.sampled_from(['', 'r']),
    ),
    max_size=20,
    unique_by=lambda row: row.task,
)
CONDITIONS = st.sampled_from(
    [
        ('attempt >= 2', lambda row: row.attempt >= 2),
        (
            'class = x or state != running',
            lambda row: row.work_class == 'x' or row.state != 'running',
        ),
        (
            'not (job in ("c d", a) and reason = "r")',
            lambda row: row.job == 'b' or row.reason != 'r',
        ),
        (
            'since_at < 1970-01-01T00:00:05Z',
            lambda row: row.since_at is not None and row.since_at < 5,
        ),
        ('since_at != 3', lambda row: row.since_at != 3),
        ('task ~ "^t/1.*"', lambda row: row.task.startswith('t/1')),
    ]
)
CLAUSES = st.sampled_from(
    [
        '',
        'limit 3',
        'order by since_at desc, job limit 5',
        'order by since_at, attempt desc',
        'count by job',
        'count by since_at order by count, since_at desc limit 2',
    ]
)


@hypothesis.given(ROWS, CONDITIONS)
def test_condition_selects_matching_rows(table, condition):
    """Guards the semantics of each operator and unit."""
    text, matches = condition
    result = language.evaluate(
        language.parse(f'show tasks where {text}'), table
    )
    assert {row[0] for row in result.rows} == {
        row.task for row in table if matches(row)
    }


@hypothesis.given(ROWS, ROWS, CLAUSES)
def test_merged_parts_equal_the_full_result(left, right, clauses):
    """Guards limits, order and counts across several owners."""
    known = {row.task for row in left}
    right = [row for row in right if row.task not in known]
    show = language.parse(f'show tasks {clauses}')
    # Partial counts must not be limited before they are added.
    parts = [
        language.evaluate(_query.partial_query(show), part)
        for part in (left, right)
    ]
    assert _query.merge(show, parts) == language.evaluate(show, left + right)


def test_units_and_flags_of_columns():
    """Guards the conversion of memory, durations and flags."""
    show = language.parse(
        'show services where memory >= 2GB and latency <= 50ms and '
        'max_run_s < 1m and draining = false'
    )
    for memory_mb, latency_ms, run_s, draining, expected in (
        (2048, 50.0, 59.9, False, 1),
        (2047, 50.0, 59.9, False, 0),
        (2048, 50.1, 59.9, False, 0),
        (2048, 50.0, 60.0, False, 0),
        (2048, 50.0, 59.9, True, 0),
    ):
        row = _tables.ServiceRow(
            *('s', 'h', 'c', 1, 1, 1.0, memory_mb, 0),
            *(run_s, latency_ms, '', draining),
        )
        assert len(language.evaluate(show, [row]).rows) == expected


def test_empty_cells_sort_last():
    """Guards against unstarted tasks that hide the others."""
    table = [
        rows.TaskRow(str(n), 'j', 'h', 'c', 's', since_at=value)
        for n, value in enumerate([None, 2.0, 1.0])
    ]
    for direction, expected in (('', '210'), (' desc', '120')):
        show = language.parse(f'show tasks order by since_at{direction}')
        result = language.evaluate(show, table)
        assert ''.join(str(row[0]) for row in result.rows) == expected


def test_long_results_are_truncated_and_marked():
    """Guards against a reply above the maximum message size."""
    table = [
        rows.TaskRow(str(n), 'j', 'h', 'c', 's')
        for n in range(_query.MAX_ROWS + 1)
    ]
    result = language.evaluate(language.parse('show tasks'), table)
    assert (len(result.rows), result.more) == (_query.MAX_ROWS, True)
    result = language.evaluate(language.parse('show tasks limit 2'), table)
    assert (len(result.rows), result.more) == (2, False)


@pytest.mark.parametrize(
    ('text', 'reason'),
    [
        ('show tasks where stat = x', 'mean "state"'),
        ('show tasks order by jobb', 'mean "job"'),
        ('show tasks count by jobb', 'mean "job"'),
        ('show tasks count by job order by team', 'can not order a count'),
        ('show tasks where zzz = 1', 'there are attempt, checkpoint, job'),
        ('show tasks where attempt = x', 'holds a number'),
        ('show tasks where job = 12', 'quotes'),
        ('show teams where may_borrow = 1', 'true or false'),
        ('show workers where memory = 5m', 'an amount of memory'),
        ('show tasks where attempt ~ "1"', 'searches text'),
        ('show workers where latency < 2GB', '50ms'),
    ],
)
def test_invalid_columns_are_explained(text, reason):
    """Guards against an empty result for a mistyped query."""
    with pytest.raises(errors.CommandRefused, match=reason):
        language.evaluate(language.parse(text), [])


def test_large_table_is_summarised_in_bounded_memory():
    """Guards against holding all rows of a large table in memory."""
    show = language.parse('show tasks order by task desc limit 3')
    summary = _query.Summary(show)
    table = [rows.TaskRow(f'{n:05}', 'j', 'h', 'c', 's') for n in range(900)]
    random.Random(1).shuffle(table)
    for row in table:
        summary.add((row,))
        assert len(summary._rows) <= 6
    assert summary.result() == language.evaluate(show, table)
    assert [row[0] for row in summary.result().rows] == [
        '00899',
        '00898',
        '00897',
    ]
