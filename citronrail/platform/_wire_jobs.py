"""Decodes the jobs that callers submit."""

import re
import typing

import msgspec

from citronrail.model import workflows

MAX_SPEC_BYTES = 4000
MAX_TASKS = 20_000
MAX_NUMBER = 2**53  # of any field of a step; exact in every number format
_JOB_ID = re.compile('[0-9a-fA-F]{16}')

_Int = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
_Float = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]


class _Step(msgspec.Struct, frozen=True):
    count: _Int = 1
    cpu: _Int = 0
    memMb: _Int = 0  # noqa: N815 - name on the wire
    gpu: _Int = 0
    estimateMs: _Float = 0.0  # noqa: N815 - name on the wire
    after: tuple[int, ...] = ()
    savesProgress: bool = False  # noqa: N815 - name on the wire
    gang: bool = False
    rackLocal: bool = False  # noqa: N815 - name on the wire
    constraints: str = ''  # label that the worker must have
    affinity: str = ''  # rack that holds the data
    antiAffinity: _Int = 0  # noqa: N815 - max. tasks of the step per worker
    speculative: bool = False
    longRunning: bool = False  # noqa: N815 - name on the wire
    image: str = ''
    targetMs: _Int = 0  # noqa: N815 - name on the wire
    fills: bool = False
    mayMiss: _Int = 0  # noqa: N815 - max. tasks unavailable at a time


class _Job(msgspec.Struct, frozen=True):
    spec: str
    steps: tuple[_Step, ...]
    times: _Int = 0
    startAtMs: _Float = 0.0  # noqa: N815 - Unix time
    periodMs: _Float = 0.0  # noqa: N815 - name on the wire


_DECODER = msgspec.json.Decoder(_Job, strict=False)


def is_valid_job_id(job_id: str) -> bool:
    """Return whether a job id is valid."""
    return _JOB_ID.fullmatch(job_id) is not None


def decode_job(body: bytes) -> workflows.WorkflowSpec:
    """Decode and check a job.

    :param body: body of the request.
    :returns: the job.
    :raises ValueError: if it is malformed or exceeds a limit.
    """
    job = _DECODER.decode(body)
    if len(job.spec.encode()) > MAX_SPEC_BYTES:
        raise ValueError(f'spec has more than {MAX_SPEC_BYTES} bytes')
    if not job.steps:
        raise ValueError('a job needs a step')
    tasks = sum(step.count for step in job.steps) * max(1, job.times)
    if not 0 < tasks <= MAX_TASKS:
        raise ValueError(f'a job has 1 to {MAX_TASKS} tasks')
    for number, step in enumerate(job.steps):
        if step.count < 1:
            raise ValueError(f'step {number} has no tasks')
        if any(not 0 <= n < number for n in step.after):
            raise ValueError(f'step {number} must come after earlier steps')
    return workflows.WorkflowSpec(
        argument=job.spec,
        steps=tuple(_step(step) for step in job.steps),
        occurrences=job.times,
        first_due_at=job.startAtMs / 1000,
        period_s=job.periodMs / 1000,
    )


def _step(step: _Step) -> workflows.StepSpec:
    return workflows.StepSpec(
        task_count=step.count,
        cpu_millis=step.cpu,
        memory_mb=step.memMb,
        accelerators=step.gpu,
        estimate_s=step.estimateMs / 1000,
        after=step.after,
        saves_progress=step.savesProgress,
        gang=step.gang,
        rack_local=step.rackLocal,
        required_label=step.constraints,
        preferred_rack=step.affinity,
        max_per_worker=step.antiAffinity,
        speculative=step.speculative,
        long_running=step.longRunning,
        image=step.image,
        latency_target_ms=step.targetMs,
        fills=step.fills,
        max_unavailable=step.mayMiss,
    )
