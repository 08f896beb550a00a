"""Checks of an agent that protect it from invalid and outdated starts."""

from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import specs
from citronrail.scheduling import _interfaces

MAX_START_DEADLINE_AHEAD_S = 30.0
RETENTION_S = 60.0  # twice the time for which a copy of a start can be valid


class StartGuard:
    """Highest fencing tokens and attempt numbers that an agent has seen.

    They are kept in memory only: a start sent to an earlier boot of the agent
    can't reach this one, since routing ids contain the boot.

    :param node_id: node id of the agent.
    :param data_centre: data centre of the host.
    """

    def __init__(
        self,
        node_id: identifiers.NodeId,
        data_centre: identifiers.DataCentreName,
    ) -> None:
        self._node_id = node_id
        self._data_centre = data_centre
        self._highest_fencing: dict[identifiers.RangeId, int] = {}
        self._highest_attempts: dict[specs.TaskId, tuple[int, float]] = {}

    def is_fenced(
        self,
        range_id: identifiers.RangeId,
        fencing: identifiers.FencingToken,
    ) -> bool:
        """Record the fencing token of a message and check it.

        :param range_id: range that the message refers to.
        :param fencing: token of the sender.
        :returns: True if a higher token was seen, so the message is invalid.
        """
        highest = max(self._highest_fencing.get(range_id, 0), fencing)
        self._highest_fencing[range_id] = highest
        return fencing < highest

    def already_seen(self, attempt: specs.AttemptId) -> bool:
        """Tell whether this attempt or a later one of its task was seen."""
        number, _ = self._highest_attempts.get(attempt.task, (0, 0.0))
        return attempt.number <= number

    def record(self, attempt: specs.AttemptId, now: float) -> None:
        """Refuse starts of this attempt and earlier ones from now on."""
        number, _ = self._highest_attempts.get(attempt.task, (0, 0.0))
        self._highest_attempts[attempt.task] = (
            max(number, attempt.number),
            now,
        )

    def prune(self, now: float, active_tasks: set[specs.TaskId]) -> None:
        """Remove numbers that no valid message can refer to any more.

        :param now: local time.
        :param active_tasks: tasks whose numbers are kept.
        """
        self._highest_attempts = {
            task: (number, at)
            for task, (number, at) in self._highest_attempts.items()
            if task in active_tasks or at + RETENTION_S > now
        }

    def refusal(
        self,
        start: messages.StartTask,
        permits: _interfaces.PermitView,
        now: float,
    ) -> str:
        """Check a start that is neither fenced nor already seen.

        :param start: the message.
        :param permits: settings and permits received from entries.
        :param now: local time.
        :returns: why it is refused, or ''.
        """
        settings = permits.settings
        if now >= start.start_before:
            return 'start came too late'
        if start.start_before > now + MAX_START_DEADLINE_AHEAD_S:
            return 'start deadline is too far ahead'
        if now >= permits.permit_until:
            return 'no permit to start tasks'
        if settings.version < start.settings_version:
            return 'settings have not arrived yet'
        if not settings.data_centre_in_service(self._data_centre):
            return 'data centre is out of service'
        if self._node_id in settings.drained_workers:
            return 'worker is drained'
        return ''
