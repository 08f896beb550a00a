"""Tracks the workers and data centres seen since the entry started."""

import collections
import collections.abc

from citronrail.language import _validation
from citronrail.model import views as view_model

# Twice the target fleet size, which also covers the 120 workers that are
# replaced each day.
MAX_WORKERS = 2000


class FleetTracker:
    """Provides the validation context, with workers that no longer respond.

    A data centre can be drained after all of its workers have stopped
    responding, so their names and data centres are retained.

    :param agents: returns the last known state of each agent.
    :param data_centres: names from the settings of the process.
    :param check_policy: rejects unknown policies and parameters.
    :param wall_clock: returns Unix time in seconds.
    """

    def __init__(
        self,
        agents: collections.abc.Callable[
            [], collections.abc.Iterable[view_model.AgentView]
        ],
        data_centres: collections.abc.Iterable[str],
        check_policy: _validation.PolicyCheck,
        wall_clock: collections.abc.Callable[[], float],
    ) -> None:
        self._agents = agents
        self._data_centres = set(data_centres)
        self._check_policy = check_policy
        self._wall_clock = wall_clock
        self._workers: collections.OrderedDict[
            str, _validation.KnownWorker
        ] = collections.OrderedDict()

    def __call__(self) -> _validation.ValidationContext:
        """Return the current validation context.

        :returns: the context, with every worker seen since the start, up to
            :data:`MAX_WORKERS`; the least recently seen are dropped first.
        """
        for view in self._agents():
            self._data_centres.add(view.data_centre)
            self._workers[view.node_id] = _validation.KnownWorker(
                view.node_id, view.data_centre, view.capacity
            )
            self._workers.move_to_end(view.node_id)
        while len(self._workers) > MAX_WORKERS:
            self._workers.popitem(last=False)
        return _validation.ValidationContext(
            tuple(self._workers.values()),
            tuple(sorted(self._data_centres)),
            self._check_policy,
            self._wall_clock(),
        )
