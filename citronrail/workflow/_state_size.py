"""Model of the memory that jobs take in the scheduling entry.

It bounds what entries accept and what a leader loads, so that the process
stays within its memory limit. ``tests/test_state_size.py`` compares it with
measured sizes.
"""

import collections.abc

from citronrail.model import workflows
from citronrail.workflow import _job

# Part of the memory limit of a process for its jobs. The rest is for the
# program, the connections, the workers and requests in progress.
STATE_SHARE = 0.35
# More than entries accept, which know the state of some seconds ago.
LOADED_SHARE = 1.25 * STATE_SHARE
JOB_BYTES = 6144
# For each byte of a stored record: its steps in memory, the objects of steps
# whose turn has come, and the record itself while the store is listed.
BYTES_PER_RECORD_BYTE = 4
STAGE_BYTES = 600
TASK_BYTES = 600  # one that has been started and may be started again
RUN_BYTES = 900


def job_bytes(spec: workflows.WorkflowSpec, record_bytes: int) -> int:
    """Return the memory that a job takes without tasks that were started.

    :param spec: the job.
    :param record_bytes: length of its stored record.
    :returns: bytes.
    """
    occurrences = max(1, spec.occurrences)
    tasks = sum(step.task_count for step in spec.steps) * occurrences
    repeated = min(occurrences, _job.MAX_WAITING_OCCURRENCES) - 1
    return (
        JOB_BYTES
        + BYTES_PER_RECORD_BYTE * record_bytes
        + STAGE_BYTES * len(spec.steps) * repeated
        + (tasks + len(spec.steps) * occurrences) // 4
    )


def limit_bytes(memory_bytes: int) -> int:
    """Return up to which size of the state entries accept jobs.

    :param memory_bytes: memory limit of the process; 0 for none.
    :returns: bytes; 0 for no limit.
    """
    return int(STATE_SHARE * memory_bytes)


def loaded_limit_bytes(memory_bytes: int) -> int:
    """Return up to which size of the state a leader loads jobs.

    :param memory_bytes: memory limit of the process; 0 for none.
    :returns: bytes; 0 for no limit.
    """
    return int(LOADED_SHARE * memory_bytes)


def held_bytes(jobs: collections.abc.Iterable[_job.Job], runs: int) -> int:
    """Return the memory that jobs take.

    :param jobs: the jobs.
    :param runs: number of their runs.
    """
    return RUN_BYTES * runs + sum(
        job.size_bytes + TASK_BYTES * job.known_task_count for job in jobs
    )
