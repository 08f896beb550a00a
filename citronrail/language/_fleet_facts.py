"""Remembers the workers that an entry has heard of."""

import collections
import collections.abc

from citronrail.language import _facts
from citronrail.model import views as view_model

# Twice the target fleet, and room for the 120 replaced on a day.
MAX_WORKERS = 2000


class FleetFacts:
    """Gives :class:`Facts`; keeps workers that are silent or gone.

    A command that drains a data centre must know its name also after all of
    its workers have stopped answering.

    :param agents: gives the last known state of each agent.
    :param data_centres: names from the settings of the process.
    :param check_policy: refuses unknown policies and parameters.
    :param wall_clock: gives Unix time in seconds.
    """

    def __init__(
        self,
        agents: collections.abc.Callable[
            [], collections.abc.Iterable[view_model.AgentView]
        ],
        data_centres: collections.abc.Iterable[str],
        check_policy: _facts.PolicyCheck,
        wall_clock: collections.abc.Callable[[], float],
    ) -> None:
        self._agents = agents
        self._data_centres = set(data_centres)
        self._check_policy = check_policy
        self._wall_clock = wall_clock
        self._seen: collections.OrderedDict[str, _facts.SeenWorker] = (
            collections.OrderedDict()
        )

    def __call__(self) -> _facts.Facts:
        """Return what is known at the moment.

        :returns: the facts, with every worker heard of since the start, up
            to :data:`MAX_WORKERS`.
        """
        for view in self._agents():
            self._data_centres.add(view.data_centre)
            self._seen[view.node_id] = _facts.SeenWorker(
                view.node_id, view.data_centre, view.capacity
            )
            self._seen.move_to_end(view.node_id)
        while len(self._seen) > MAX_WORKERS:
            self._seen.popitem(last=False)
        return _facts.Facts(
            tuple(self._seen.values()),
            tuple(sorted(self._data_centres)),
            self._check_policy,
            self._wall_clock(),
        )
