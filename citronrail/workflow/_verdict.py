"""Outcomes of callers' requests."""

import dataclasses
import enum


class Verdict(enum.Enum):
    """Outcome of a caller's request."""

    DONE = 'done'
    NOT_RUN = 'not run'  # certainly had no effect and never will
    UNFIT = 'unfit'  # had no effect, since no worker can run the job
    OVERLOADED = 'overloaded'  # had no effect, it would end too late
    NO_MEMORY = 'no memory'  # had no effect, the scheduler holds too much
    TOO_LARGE = 'too large'  # had no effect, the store takes no such job
    UNKNOWN = 'unknown'  # the caller should repeat it with the same ID
    ABSENT = 'absent'  # no such job


@dataclasses.dataclass(frozen=True)
class Reply:
    """Reply to a caller.

    ``retry_after_s`` says when to retry after ``NOT_RUN``, ``UNFIT``,
    ``OVERLOADED`` or ``NO_MEMORY``.
    """

    verdict: Verdict
    state: str = ''
    pending: int = 0
    retry_after_s: int = 1
