"""Rows of the tables with which the owner of a job shard answers queries.

Field names are the column names that operators see. A
field ending in ``_at`` is Unix time in seconds; None means not yet.
"""

import dataclasses


@dataclasses.dataclass(frozen=True)
class TaskRow:
    """A task of a job, or replica of a service.

    ``job`` is the job id, or ``service:NAME``. ``state`` is ``pending``,
    ``assigned``, ``running``, ``moving``, ``stopping``, ``parked``,
    ``finished`` or ``cancelled``. ``attempt`` is the number of the last
    attempt, 0 if there was none or it is not kept. ``worker`` is the node id
    of the agent that holds the attempt, and ``since_at`` when the state
    began, if it is still stored. The tasks of a completed job are
    only counted in the job's row, except for a few results.
    """

    task: str
    job: str
    team: str
    work_class: str
    state: str
    attempt: int = 0
    worker: str = ''
    since_at: float | None = None
    checkpoint: str = ''
    reason: str = ''


@dataclasses.dataclass(frozen=True)
class JobRow:
    """A batch job; ``pending``, ``running`` and so on count its tasks.

    ``state`` is ``active``, ``parked``, ``finished`` or ``cancelled``, and
    ``failures`` counts failed attempts.
    """

    job: str
    team: str
    work_class: str
    state: str
    priority: str = 'normal'
    tasks: int = 0
    pending: int = 0
    running: int = 0
    finished: int = 0
    cancelled: int = 0
    parked: int = 0
    failures: int = 0
    submitted_at: float | None = None
    finish_before: float | None = None
    reason: str = ''
