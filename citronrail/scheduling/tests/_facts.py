"""Checks on the history of the workers, independent of the scheduler."""

import collections
import dataclasses
import math

from citronrail.model import specs
from standins import worker as standin

ENDS = ('finished', 'failed', 'stopped', 'checkpointed')


@dataclasses.dataclass(frozen=True)
class Span:
    """One run of an attempt on a worker."""

    attempt: specs.AttemptId
    begin: float
    end: float
    outcome: str


def spans(history: list[standin.HistoryRecord]) -> list[Span]:
    """Return the runs in a history; unfinished ones end at infinity."""
    begun: dict[specs.AttemptId, float] = {}
    found = []
    for record in history:
        if record.event == 'start':
            assert record.attempt not in begun, 'an attempt started twice'
            begun[record.attempt] = record.at
        elif record.event in ENDS:
            begin = begun[record.attempt]
            found.append(Span(record.attempt, begin, record.at, record.event))
    ended = {span.attempt for span in found}
    found.extend(
        Span(attempt, begin, math.inf, 'running')
        for attempt, begin in begun.items()
        if attempt not in ended
    )
    return found


def overlaps(history: list[standin.HistoryRecord], key) -> list[tuple]:
    """Return pairs of runs with the same key that overlap in time."""
    by_key = collections.defaultdict(list)
    for span in spans(history):
        by_key[key(span.attempt)].append(span)
    found = []
    for group in by_key.values():
        group.sort(key=lambda span: span.begin)
        for one, other in zip(group, group[1:]):
            if other.begin < one.end:
                found.append((one, other))
    return found


def finishes(history: list[standin.HistoryRecord]) -> collections.Counter:
    """Count how often each task finished."""
    return collections.Counter(
        record.attempt.task for record in history if record.event == 'finished'
    )


def resumes(history: list[standin.HistoryRecord]) -> collections.Counter:
    """Count how often each checkpoint was resumed."""
    return collections.Counter(
        record.detail
        for record in history
        if record.event == 'start' and record.detail
    )


def check_no_work_lost(history: list[standin.HistoryRecord]) -> None:
    """Check that each resumed run starts at the progress of its checkpoint."""
    progress = {}
    for record in history:
        if record.event == 'checkpointed':
            progress[record.checkpoint] = record.progress_s
        elif record.event == 'start' and record.detail:
            assert math.isclose(
                record.progress_s, progress[record.detail], abs_tol=1e-6
            )
