"""How much of a data centre that came back may be used."""

import collections.abc
import math

from citronrail.model import identifiers
from citronrail.model import settings as settings_model
from citronrail.scheduling import _context


class Ramps:
    """Watches data centres return and widens their share step by step.

    Filling a returned data centre at once would move work there in one
    burst, onto hosts whose caches are cold. Kept in memory: a new owner that
    didn't see the return does not ramp.

    :param limits: duration of a ramp and the share at its start.
    """

    def __init__(self, limits: _context.Limits) -> None:
        self._limits = limits
        self._out: set[str] = set()
        self._returned_at: dict[str, float] = {}

    def update(
        self, settings: settings_model.Settings, now: float
    ) -> collections.abc.Mapping[str, float]:
        """Take in the settings.

        :param settings: latest settings.
        :param now: local time in seconds.
        :returns: share of its agents that each returned data centre may use;
            data centres without a ramp are not named.
        """
        out = {
            name
            for name, state in settings.data_centres.items()
            if not state.in_service
        }
        for name in self._out - out:
            self._returned_at[name] = now
        for name in out:
            self._returned_at.pop(name, None)
        self._out = out
        shares = {}
        for name, since in tuple(self._returned_at.items()):
            share = ramp_share(now - since, self._limits)
            if share >= 1.0:
                del self._returned_at[name]
            else:
                shares[name] = share
        return shares


def ramp_share(elapsed_s: float, limits: _context.Limits) -> float:
    """Return the share of its workers that a data centre may use.

    :param elapsed_s: seconds since its return.
    :param limits: duration of a ramp and the share at its start.
    :returns: rises evenly to 1.0.
    """
    if limits.ramp_s <= 0.0:
        return 1.0
    first = limits.ramp_first_share
    passed = max(0.0, elapsed_s) / limits.ramp_s
    return min(1.0, first + (1.0 - first) * passed)


def usable(
    nodes: collections.abc.Iterable[identifiers.NodeId], share: float
) -> frozenset[identifiers.NodeId]:
    """Return the workers of a data centre that may be used, at least one.

    They are always the first ones by name: a worker once in use stays so.

    :param nodes: node ids of the workers' agents.
    :param share: from :func:`ramp_share`.
    :returns: node ids.
    """
    names = sorted(nodes)
    return frozenset(names[: math.ceil(len(names) * share)])
