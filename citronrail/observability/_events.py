"""Numbered events, written to the log and recorded for the timeline."""

import collections
import contextvars
import dataclasses
import itertools
import typing

from loguru import logger
import trio


@dataclasses.dataclass(frozen=True)
class EventKind:
    """A kind of event, listed in docs/EVENTS.md.

    ``text`` is a :meth:`str.format` template over the event's fields.
    """

    number: int
    level: str
    text: str

    @property
    def code(self) -> str:
        """Identifier used in logs and docs, such as ``CR1203``."""
        return f'CR{self.number}'


@dataclasses.dataclass(frozen=True)
class EventRecord:
    """An event of this process.

    ``clock`` is the monotonic clock in seconds. ``cause`` is the id of an
    event, request, task or command that led to this one, or ''.
    """

    event_id: str
    number: int
    clock: float
    text: str
    cause: str
    fields: dict[str, str]


class Recorder:
    """A ring buffer of the latest events.

    :param process: name of the process, used in event ids.
    :param capacity: number of events kept.
    """

    def __init__(self, process: str = '', capacity: int = 20_000) -> None:
        self.process = process
        self._records: collections.deque[EventRecord] = collections.deque(
            maxlen=capacity
        )
        self._numbers = itertools.count(1)

    def add(
        self, kind: EventKind, cause: str, fields: dict[str, str]
    ) -> EventRecord:
        """Record an event.

        :param kind: kind of the event.
        :param cause: id of the cause, or ''.
        :param fields: values for the text.
        :returns: the record, with a new id.
        """
        record = EventRecord(
            f'{self.process}:{next(self._numbers)}',
            kind.number,
            _clock(),
            kind.text.format(**fields),
            cause,
            fields,
        )
        self._records.append(record)
        return record

    def records(self) -> tuple[EventRecord, ...]:
        """Return the recorded events, oldest first."""
        return tuple(self._records)


_PROCESS_RECORDER = Recorder()
_RECORDER: contextvars.ContextVar[Recorder | None] = contextvars.ContextVar(
    'citronrail_recorder', default=None
)


def use_recorder(recorder: Recorder) -> None:
    """Use ``recorder`` in this task and the tasks that it starts."""
    _RECORDER.set(recorder)


def current_recorder() -> Recorder:
    """Return the recorder of this task."""
    return _RECORDER.get() or _PROCESS_RECORDER


def emit(kind: EventKind, *, cause: str = '', **fields: typing.Any) -> str:
    """Write an event to the log and to the timeline.

    :param kind: kind of the event.
    :param cause: id of the cause, or ''.
    :param fields: values for the text of the event.
    :returns: id of the event.
    """
    values = {name: str(value) for name, value in fields.items()}
    record = current_recorder().add(kind, cause, values)
    bound = logger.bind(event=kind.code, cause=cause, fields=values)
    bound.log(kind.level, '{} {}', kind.code, record.text)
    return record.event_id


def _clock() -> float:
    try:
        return trio.current_time()
    except RuntimeError:
        return 0.0
