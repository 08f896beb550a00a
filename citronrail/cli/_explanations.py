"""What each event says about a job, for the subcommand ``explain``.

To explain another event, add a line to ``EXPLANATIONS``: its kind, its role
and, for the roles that are listed, a text with names of its fields in braces.
"""

import collections
import collections.abc
import dataclasses
import enum

from citronrail.observability.catalogue import coordination
from citronrail.observability.catalogue import workflow


class Role(enum.Enum):
    """What an event says about a job; a comment names the fields needed.

    Submissions (``ACCEPTED`` to ``RELAYED``) and stopped runs are listed with
    their texts before the cause.
    """

    ACCEPTED = enum.auto()
    REJECTED = enum.auto()  # certainly not stored
    UNCERTAIN = enum.auto()  # may or may not have been stored
    RELAYED = enum.auto()  # passed to another entry, whose answer is listed
    STARTED = enum.auto()  # task, run, worker
    RUN_ENDED = enum.auto()  # task, run, worker, how
    STOPPED = enum.auto()  # task, run, worker
    DELAYED = enum.auto()
    GIVEN_UP = enum.auto()
    ENDED = enum.auto()  # status
    CONTEXT = enum.auto()  # affects later decisions on any job


SUBMISSION_ROLES = frozenset(
    {Role.ACCEPTED, Role.REJECTED, Role.UNCERTAIN, Role.RELAYED}
)
# A job with such an event is stored, whatever its submissions say.
ROLES_OF_STORED_JOBS = frozenset(
    {Role.ACCEPTED, Role.STARTED, Role.RUN_ENDED, Role.STOPPED, Role.ENDED}
)


@dataclasses.dataclass(frozen=True)
class Explanation:
    """The role of an event, and its text in a list."""

    role: Role
    text: str = ''


EXPLANATIONS = {
    coordination.LEASE_LOST: Explanation(Role.CONTEXT),
    workflow.WATCH_LOST: Explanation(Role.CONTEXT),
    workflow.WATCH_REGAINED: Explanation(Role.CONTEXT),
    workflow.CONFIG_IN_FORCE: Explanation(Role.CONTEXT),
    workflow.EVACUATION_CHANGED: Explanation(Role.CONTEXT),
    workflow.LEADER_ELECTED: Explanation(Role.CONTEXT),
    workflow.LEADER_LOADED: Explanation(Role.CONTEXT),
    workflow.LEADER_ENDED: Explanation(Role.CONTEXT),
    workflow.STORE_LOST: Explanation(Role.CONTEXT),
    workflow.STORE_REGAINED: Explanation(Role.CONTEXT),
    workflow.LEADERSHIP_RESUMED: Explanation(Role.CONTEXT),
    workflow.DEAD_CLAIM_ENDED: Explanation(Role.CONTEXT),
    workflow.WORKER_LEASES_EXPIRED: Explanation(Role.CONTEXT),
    workflow.WORKER_AVOIDED: Explanation(Role.CONTEXT),
    workflow.WORKER_LOST: Explanation(Role.CONTEXT),
    workflow.JOB_ACCEPTED: Explanation(
        Role.ACCEPTED, 'accepted on {queue} with {tasks} tasks'
    ),
    workflow.JOB_REJECTED: Explanation(
        Role.REJECTED, 'rejected on {queue}: {reason}'
    ),
    workflow.JOB_OUTCOME_UNKNOWN: Explanation(
        Role.UNCERTAIN, 'may or may not have been accepted: {reason}'
    ),
    workflow.JOB_REJECTED_FOR_OVERLOAD: Explanation(
        Role.REJECTED,
        'rejected on {queue}: {backlog} core-seconds are ahead at {rate} a '
        'second; retry after {seconds} s',
    ),
    workflow.REQUEST_RELAYED: Explanation(
        Role.RELAYED, '{request} relayed to {peer}: {verdict}'
    ),
    workflow.JOB_DEFERRED: Explanation(Role.DELAYED),
    workflow.RUN_ASSIGNED: Explanation(Role.STARTED),
    workflow.RUN_ENDED: Explanation(Role.RUN_ENDED),
    workflow.RUN_STOPPED: Explanation(Role.STOPPED, '{reason}'),
    workflow.RUN_REFUSED: Explanation(Role.DELAYED),
    workflow.RUN_DISCARDED: Explanation(Role.DELAYED),
    workflow.START_UNANSWERED: Explanation(Role.DELAYED),
    workflow.TASK_GIVEN_UP: Explanation(Role.GIVEN_UP),
    workflow.JOB_ENDED: Explanation(Role.ENDED),
}


def role_of(event: str) -> Role | None:
    """Return the role of an event, None if it has none.

    :param event: identifier of the event in the log, such as ``CR1721``.
    """
    explanation = _BY_CODE.get(event)
    return explanation.role if explanation else None


def text_of(event: str, fields: collections.abc.Mapping[str, str]) -> str:
    """Return the text of an event in a list.

    :param event: identifier of the event in the log.
    :param fields: fields of the log line; '?' stands for a missing one.
    """
    explanation = _BY_CODE.get(event, Explanation(Role.CONTEXT))
    return explanation.text.format_map(
        collections.defaultdict(lambda: '?', fields)
    )


_BY_CODE = {kind.code: item for kind, item in EXPLANATIONS.items()}
