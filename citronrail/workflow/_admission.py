"""Which jobs no worker could ever run.

Answers tasks that are larger than every worker, or ask for a label that no
worker has: they would wait until their caller gives up.
"""

from citronrail.model import messages
from citronrail.model import workflows
from citronrail.workflow import _documents as documents

Shapes = tuple[documents.WorkerShape, ...]


def shape_of(life: messages.WorkerLife) -> documents.WorkerShape:
    """Return what of a worker decides which tasks fit.

    :param life: what the worker announced.
    """
    return documents.WorkerShape(
        life.service,
        life.cpu_millis,
        life.memory_mb,
        life.accelerators,
        tuple(sorted(life.labels)),
    )


def unfit_step(
    spec: workflows.WorkflowSpec, service: str, shapes: Shapes
) -> int | None:
    """Return the first step whose tasks fit no worker, if there is one.

    :param spec: the job.
    :param service: the service whose workers run it.
    :param shapes: all kinds of workers seen; without one of the service
        nothing is known and everything may fit.
    """
    own = [shape for shape in shapes if shape.service == service]
    if not own:
        return None
    for number, step in enumerate(spec.steps):
        if not any(_fits(step, shape) for shape in own):
            return number
    return None


def _fits(step: workflows.StepSpec, shape: documents.WorkerShape) -> bool:
    # A filling task isn't counted in the capacity, so it fits any worker.
    cpu_millis = 0 if step.fills else step.cpu_millis
    return (
        cpu_millis <= shape.cpu_millis
        and step.memory_mb <= shape.memory_mb
        and step.accelerators <= shape.accelerators
        and step.required_label in ('', *shape.labels)
    )
