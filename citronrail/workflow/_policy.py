"""Configuration and learned data that a scheduling round uses."""

import dataclasses

from citronrail.workflow import _idle_jobs
from citronrail.workflow import _interference
from citronrail.workflow import _job
from citronrail.workflow import _scheduler_state
from citronrail.workflow.overload import _job_order


@dataclasses.dataclass(frozen=True)
class Policy:
    """Configuration and learned data that a round uses.

    :param queue_named: looks up a queue in the current configuration.
    :param evacuated: data centres in which nothing may start.
    :param factors: learned interference factors.
    :param fit_best_effort: serving tasks and the best-effort tasks that harm
        them are kept on different workers as far as there is room.
    :param job_order: order by cost of delay and backlog; None for the order
        by slack alone.
    :param idle_jobs: since when jobs have had nothing running; None if that
        is not tracked.
    """

    queue_named: _scheduler_state.QueueLookup
    evacuated: frozenset[str]
    factors: _interference.PairFactors
    fit_best_effort: bool = False
    job_order: _job_order.JobOrder | None = None
    idle_jobs: _idle_jobs.IdleJobs | None = None

    def service_of(self, job: _job.Job) -> str:
        """Return the service whose workers run a job."""
        queue = self.queue_named(job.record.queue)
        return queue.service if queue else job.record.service
