"""Numbers of a job's stages and tasks, which need no object for each."""

import array
import bisect
import itertools

from citronrail.model import workflows

SEGMENT_TASKS = 256  # whose progress is stored in one value


class TaskLayout:
    """Numbers the stages and tasks of all occurrences of a job.

    The stages of an occurrence follow each other, and so do the tasks of a
    stage.

    :param spec: the job.
    """

    __slots__ = (
        '_first_tasks',
        'occurrences',
        'step_count',
        'tasks_per_occurrence',
    )

    def __init__(self, spec: workflows.WorkflowSpec) -> None:
        self.step_count = len(spec.steps)
        self.occurrences = max(1, spec.occurrences) if spec.steps else 0
        ends = array.array(
            'I', itertools.accumulate(step.task_count for step in spec.steps)
        )
        self.tasks_per_occurrence = ends[-1] if ends else 0
        # Of each step, the number of its first task in an occurrence.
        self._first_tasks = array.array('I', [0])
        self._first_tasks.extend(ends[:-1])

    @property
    def stage_count(self) -> int:
        """Number of stages in all occurrences."""
        return self.step_count * self.occurrences

    @property
    def task_count(self) -> int:
        """Number of tasks in all occurrences."""
        return self.tasks_per_occurrence * self.occurrences

    @property
    def segment_count(self) -> int:
        """Number of segments; tasks of one are stored together."""
        return -(-self.task_count // SEGMENT_TASKS)

    def first_task(self, stage: int) -> int:
        """Return the number of a stage's first task.

        :param stage: number of the stage.
        """
        occurrence, step = divmod(stage, self.step_count)
        return occurrence * self.tasks_per_occurrence + self._first_tasks[step]

    def stage_of(self, task: int) -> int:
        """Return the number of the stage that a task belongs to.

        :param task: number of the task.
        """
        occurrence, first = divmod(task, self.tasks_per_occurrence)
        step = bisect.bisect_right(self._first_tasks, first) - 1
        return occurrence * self.step_count + step

    def segment_tasks(self, segment: int) -> range:
        """Return the numbers of the tasks of a segment.

        :param segment: number of the segment.
        """
        first = segment * SEGMENT_TASKS
        return range(first, min(first + SEGMENT_TASKS, self.task_count))
