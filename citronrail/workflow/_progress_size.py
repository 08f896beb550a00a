"""Shorter forms of stored progress that is too long for a value."""

import collections.abc
import typing

import msgspec

from citronrail.workflow import _documents as documents

Progress = documents.ProgressRecord | documents.SegmentRecord


def without_checkpoints(record: Progress) -> Progress:
    """Return progress whose tasks would begin anew.

    :param record: the whole progress.
    """
    return _with_tasks(record, checkpoint='')


def without_evidence(record: Progress) -> Progress:
    """Return progress without checkpoints and recorded crashes.

    What is left is bounded by the number of tasks.

    :param record: the whole progress.
    """
    return _with_tasks(record, checkpoint='', crashes=())


def _with_tasks(record: Progress, **fields: typing.Any) -> Progress:
    """Replace fields of all tasks of a record."""

    def replaced(
        tasks: collections.abc.Iterable[documents.TaskRecord],
    ) -> tuple[documents.TaskRecord, ...]:
        return tuple(msgspec.structs.replace(task, **fields) for task in tasks)

    match record:
        case documents.SegmentRecord(tasks=tasks):
            return documents.SegmentRecord(replaced(tasks))
        case documents.ProgressRecord(stages=stages):
            return msgspec.structs.replace(
                record, stages=tuple(replaced(stage) for stage in stages)
            )
