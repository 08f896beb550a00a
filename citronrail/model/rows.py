"""Rows of the tables that the owner of a job shard answers queries from.

The names of the fields are the names of the columns that operators see. A
field ending in ``_at`` is Unix time in seconds; None means not yet.
"""

import dataclasses


@dataclasses.dataclass(frozen=True)
class TaskRow:
    """A task of a job, or a replica of a service.

    ``job`` is the job id, or ``service:NAME``. ``state`` is ``pending``,
    ``starting``, ``running``, ``evicted``, ``parked``, ``finished``,
    ``failed`` or ``cancelled``. ``worker`` is the node id of the agent that
    holds the current attempt, or ''.
    """

    task: str
    job: str
    team: str
    work_class: str
    state: str
    attempt: int = 0
    worker: str = ''
    data_centre: str = ''
    priority: str = 'normal'
    exclusive: bool = False
    cores: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0
    submitted_at: float | None = None
    started_at: float | None = None
    evictions: int = 0
    reason: str = ''


@dataclasses.dataclass(frozen=True)
class JobRow:
    """A batch job.

    ``state`` is ``pending``, ``running``, ``parked``, ``finished``,
    ``failed`` or ``cancelled``. ``pending``, ``running`` and so on count its
    tasks. ``range`` is the number of the job's range.
    """

    job: str
    team: str
    work_class: str
    state: str
    tasks: int = 0
    pending: int = 0
    running: int = 0
    finished: int = 0
    failed: int = 0
    cancelled: int = 0
    priority: str = 'normal'
    exclusive: bool = False
    cores: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0
    submitted_at: float | None = None
    finish_before: float | None = None
    range: int = 0
    reason: str = ''
