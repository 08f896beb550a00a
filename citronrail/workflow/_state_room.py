"""Room for further jobs in the memory of the scheduling entries.

Answers callers whose accepted jobs need more memory than an entry has: every
entry that schedules would be ended by its limit, one after the other. What
needs most is rejected first, so that small jobs are accepted for longest.
"""

import dataclasses

from citronrail.model import messages

# Part of the room that a single job may take. With it, an empty scheduler of
# 300 MB accepts any job.
MAX_JOB_SHARE = 0.25
# A job counts as not known to the leader until its size arrives that was made
# this long after the job was stored.
UNKNOWN_TO_LEADER_S = 2.0
RETRY_AFTER_S = 10  # for a job that is rejected
# After this time a job counts no more although no size has arrived: the leader
# may be of a version that sends none, and loads no more than it can hold.
FORGET_S = 60.0


@dataclasses.dataclass(frozen=True)
class _Accepted:
    """A job that this entry has accepted; the time is local."""

    at: float
    size: int


class StateRoom:
    """Decides at an entry whether there is memory for a job.

    :param limit: size of the state that this entry can hold, in bytes; 0 for
        any size.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._size = messages.StateSize(0, 0, 0)
        self._accepted: dict[str, _Accepted] = {}  # by job ID, in their order

    def take(self, size: messages.StateSize, now: float) -> None:
        """Accept the leader's latest size of the state.

        :param size: the message.
        :param now: local time in seconds.
        """
        if size.leader < self._size.leader:
            return
        self._size = size
        known_before = now - UNKNOWN_TO_LEADER_S
        self._accepted = {
            job_id: item
            for job_id, item in self._accepted.items()
            if item.at > known_before
        }

    def admits(self, job_id: str, size: int) -> bool:
        """Whether there is memory for a job.

        :param job_id: ID of the job.
        :param size: memory that it takes, in bytes.
        """
        limit = min(filter(None, (self.limit, self._size.limit)), default=0)
        if not limit or job_id in self._accepted:
            return True
        room = max(0, limit - self._size.used)
        if size > MAX_JOB_SHARE * room:
            return False
        # The other entries accept jobs at the same time.
        accepted = sum(item.size for item in self._accepted.values())
        entries = max(1, self._size.entries)
        return not accepted or accepted + size <= room / entries

    def on_accepted(self, job_id: str, size: int, now: float) -> None:
        """Count a job that this entry is about to store.

        :param job_id: ID of the job.
        :param size: memory that it takes, in bytes.
        :param now: local time in seconds.
        """
        for known_id, item in tuple(self._accepted.items()):
            if item.at >= now - FORGET_S:
                break  # the others are later
            del self._accepted[known_id]
        self._accepted.setdefault(job_id, _Accepted(now, size))

    def on_not_stored(self, job_id: str) -> None:
        """Stop counting a job that was certainly not stored."""
        self._accepted.pop(job_id, None)
