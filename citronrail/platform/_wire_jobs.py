"""Decodes the jobs that callers submit."""

import re

import msgspec

from citronrail.model import bounded
from citronrail.model import codec
from citronrail.model import workflows

MAX_SPEC_BYTES = 4000
_JOB_ID = re.compile('[0-9a-fA-F]{16}')


class _Step(msgspec.Struct, frozen=True):
    count: bounded.Count = 1
    cpu: bounded.Count = 0
    memMb: bounded.Count = 0  # noqa: N815 - name on the wire
    gpu: bounded.Count = 0
    estimateMs: bounded.Number = 0.0  # noqa: N815 - name on the wire
    after: tuple[int, ...] = ()
    savesProgress: bool = False  # noqa: N815 - name on the wire
    gang: bool = False
    rackLocal: bool = False  # noqa: N815 - name on the wire
    constraints: bounded.Text = ''  # label that the worker must have
    affinity: bounded.Text = ''  # rack that holds the data
    # Max. tasks of the step per worker.
    antiAffinity: bounded.Count = 0  # noqa: N815 - name on the wire
    speculative: bool = False
    longRunning: bool = False  # noqa: N815 - name on the wire
    image: bounded.Text = ''
    targetMs: bounded.Count = 0  # noqa: N815 - name on the wire
    fills: bool = False
    mayMiss: bounded.Count = 0  # noqa: N815 - max. tasks unavailable at a time


class _Job(msgspec.Struct, frozen=True):
    spec: str
    steps: tuple[_Step, ...]
    times: bounded.Count = 0
    startAtMs: bounded.Number = 0.0  # noqa: N815 - Unix time
    periodMs: bounded.Number = 0.0  # noqa: N815 - name on the wire


def is_valid_job_id(job_id: str) -> bool:
    """Return whether a job id is valid."""
    return _JOB_ID.fullmatch(job_id) is not None


def decode_job(body: bytes) -> workflows.WorkflowSpec:
    """Decode and check a job.

    :param body: body of the request.
    :returns: the job.
    :raises ValueError: if it is malformed or exceeds a limit.
    """
    job = codec.from_json(body, _Job, strict=False)
    if len(job.spec.encode()) > MAX_SPEC_BYTES:
        raise ValueError(f'spec has more than {MAX_SPEC_BYTES} bytes')
    spec = workflows.WorkflowSpec(
        argument=job.spec,
        steps=tuple(_step(step) for step in job.steps),
        occurrences=job.times,
        first_due_at=job.startAtMs / 1000,
        period_s=job.periodMs / 1000,
    )
    if spec.problem:
        raise ValueError(spec.problem)
    return spec


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
