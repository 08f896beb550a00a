"""How much of a data centre that came back may be used."""

import collections.abc

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
            share = self._share(now - since)
            if share >= 1.0:
                del self._returned_at[name]
            else:
                shares[name] = share
        return shares

    def _share(self, elapsed_s: float) -> float:
        first = self._limits.ramp_first_share
        return first + (1.0 - first) * elapsed_s / self._limits.ramp_s
