"""Specifications of jobs, tasks and services."""

import dataclasses
import enum

from citronrail.model import identifiers
from citronrail.model import resources


class Priority(enum.Enum):
    """Order in which work is started when capacity is short."""

    URGENT = 'urgent'
    NORMAL = 'normal'
    LOW = 'low'


@dataclasses.dataclass(frozen=True)
class JobSpec:
    """A batch job of ``task_count`` identical tasks.

    ``declared_run_s`` and ``resources`` are what the team declared; the
    scheduler treats them as a prior only. ``finish_before`` is Unix time in
    seconds. An empty ``data_centres`` allows every data centre. Tasks of an
    ``exclusive`` job never run in two places at once, at any moment.
    """

    job_id: identifiers.JobId
    team: identifiers.TeamName
    work_class: identifiers.WorkClass
    task_count: int
    resources: resources.Resources
    declared_run_s: float = 60.0
    priority: Priority = Priority.NORMAL
    exclusive: bool = False
    checkpointable: bool = True
    finish_before: float | None = None
    data_centres: tuple[identifiers.DataCentreName, ...] = ()
    argument: str = ''


@dataclasses.dataclass(frozen=True)
class ServiceSpec:
    """A latency-critical service with a number of replicas.

    ``max_run_s`` bounds how long a backend server may work on one request.
    A draining service gets no new requests and its replicas are stopped once
    they are idle.
    """

    name: identifiers.ServiceName
    team: identifiers.TeamName
    work_class: identifiers.WorkClass
    replicas: int
    resources: resources.Resources
    max_run_s: float = 30.0
    latency_target_ms: float = 50.0
    data_centres: tuple[identifiers.DataCentreName, ...] = ()
    draining: bool = False


@dataclasses.dataclass(frozen=True, order=True)
class TaskId:
    """Identity of one task of a job or one replica of a service.

    ``owner`` is a job id, or ``service:NAME`` for replicas.
    """

    owner: str
    index: int

    def __str__(self) -> str:
        return f'{self.owner}/{self.index}'


@dataclasses.dataclass(frozen=True, order=True)
class AttemptId:
    """One run of a task; ``number`` starts at 1 and only increases."""

    task: TaskId
    number: int

    def __str__(self) -> str:
        return f'{self.task}#{self.number}'


@dataclasses.dataclass(frozen=True)
class TaskSpec:
    """What a worker needs to run one attempt of a task.

    ``checkpoint`` is the token of the checkpoint to resume from, or ''.
    """

    team: identifiers.TeamName
    work_class: identifiers.WorkClass
    resources: resources.Resources
    declared_run_s: float
    priority: Priority = Priority.NORMAL
    service: identifiers.ServiceName | None = None
    exclusive: bool = False
    checkpointable: bool = True
    checkpoint: str = ''
    argument: str = ''
