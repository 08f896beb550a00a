"""Admission check: rejects jobs that no worker could run.

Tasks that are larger than every worker or require a label that no worker has
would otherwise wait until their caller gives up.
"""

from citronrail.model import messages
from citronrail.model import workflows
from citronrail.workflow import _documents as documents

Shapes = tuple[documents.WorkerShape, ...]


def shape_of(life: messages.WorkerLife) -> documents.WorkerShape:
    """Return the attributes of a worker that decide which tasks fit.

    :param life: the worker's announcement.
    """
    return documents.WorkerShape(
        life.service,
        life.cpu_millis,
        life.memory_mb,
        life.accelerators,
        tuple(sorted(life.labels)),
    )


def largest(
    shapes: frozenset[documents.WorkerShape],
) -> frozenset[documents.WorkerShape]:
    """Leave out shapes for which another one can run everything.

    :param shapes: worker shapes.
    """
    return frozenset(
        shape
        for shape in shapes
        if not any(
            other != shape and _covers(other, shape) for other in shapes
        )
    )


def _covers(
    shape: documents.WorkerShape, other: documents.WorkerShape
) -> bool:
    return (
        shape.service == other.service
        and shape.labels == other.labels
        and shape.cpu_millis >= other.cpu_millis
        and shape.memory_mb >= other.memory_mb
        and shape.accelerators >= other.accelerators
    )


def unfit_step(
    spec: workflows.WorkflowSpec, service: str, shapes: Shapes
) -> int | None:
    """Return the first step whose tasks fit no worker, if there is one.

    :param spec: the job.
    :param service: the service whose workers run it.
    :param shapes: all known worker shapes; if none is of the service, every
        step is assumed to fit.
    """
    shapes_of_service = [shape for shape in shapes if shape.service == service]
    if not shapes_of_service:
        return None
    for number, step in enumerate(spec.steps):
        if not any(_fits(step, shape) for shape in shapes_of_service):
            return number
    return None


def _fits(step: workflows.StepSpec, shape: documents.WorkerShape) -> bool:
    # Best-effort tasks reserve no processors, so they fit any worker.
    cpu_millis = 0 if step.fills else step.cpu_millis
    return (
        cpu_millis <= shape.cpu_millis
        and step.memory_mb <= shape.memory_mb
        and step.accelerators <= shape.accelerators
        and step.required_label in ('', *shape.labels)
    )
