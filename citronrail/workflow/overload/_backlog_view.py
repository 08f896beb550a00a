"""The backlog as an entry knows it, and the jobs that it told to return."""

from citronrail.model import messages
from citronrail.workflow.overload import _admission


class BacklogView:
    """Latest backlog summary of the leader, and rejected jobs."""

    def __init__(self) -> None:
        self.summary: messages.BacklogSummary | None = None
        self._arrived_at = 0.0
        # Return time in local seconds and work of rejected jobs, by job ID.
        self._returning: dict[str, tuple[float, float]] = {}

    def take(self, summary: messages.BacklogSummary, now: float) -> None:
        """Accept a summary that is newer than the present one.

        :param summary: the summary.
        :param now: local time in seconds.
        """
        known = self.summary
        if known is None or _version(summary) > _version(known):
            self.summary = summary
            self._arrived_at = now

    def age_s(self, now: float, unix_now: float) -> float:
        """Return the age of the summary.

        Unix clocks may differ between machines, so that the time since its
        arrival counts if it is longer.

        :param now: local time in seconds.
        :param unix_now: Unix time in seconds.
        """
        if self.summary is None:
            return float('inf')
        return max(unix_now - self.summary.made_at, now - self._arrived_at)

    def decide(
        self, job: _admission.Job, now: float, unix_now: float
    ) -> _admission.Rejection | None:
        """Decide whether to admit a job, see :func:`_admission.decide`.

        :param job: the job.
        :param now: local time in seconds.
        :param unix_now: Unix time in seconds.
        """
        self._returning = {
            job_id: item
            for job_id, item in self._returning.items()
            if item[0] > now
        }
        known = self._returning.get(job.job_id)
        returning_s = sum(
            work_s
            for job_id, (_, work_s) in self._returning.items()
            if job_id != job.job_id
        )
        rejection = _admission.decide(
            self.summary, self.age_s(now, unix_now), job, returning_s
        )
        if rejection is None or known is None:
            return rejection
        # It came back early and keeps its place among those that return.
        return _admission.Rejection(
            max(float(_admission.MIN_RETRY_S), known[0] - now),
            rejection.work_s,
            rejection.ahead_core_s,
            rejection.cores,
        )

    def on_rejected(
        self, job_id: str, rejection: _admission.Rejection, now: float
    ) -> None:
        """Remember when a rejected job returns.

        :param job_id: ID of the job.
        :param rejection: its rejection.
        :param now: local time in seconds.
        """
        self._returning[job_id] = (
            now + rejection.retry_in_s,
            rejection.work_s,
        )

    def on_admitted(self, job_id: str) -> None:
        """Forget an admitted job."""
        self._returning.pop(job_id, None)


def _version(summary: messages.BacklogSummary) -> tuple[int, int]:
    return (summary.leader, summary.version)
