"""How long backend servers take, by service."""

import dataclasses

_WEIGHT = 0.1  # of the newest answer in the moving average
_HALF_S = 5.0  # without answers, averages are halved in this time
ALL_SERVICES = ''


@dataclasses.dataclass(frozen=True)
class _Average:
    ms: float
    noted_at: float

    def at(self, now: float) -> float:
        idle_s = now - self.noted_at
        return float(self.ms * 0.5 ** (idle_s / _HALF_S))


class LatencyBook:
    """Moving averages that fade, so that a slow past is measured anew."""

    def __init__(self) -> None:
        self._averages: dict[str, _Average] = {}

    def note(self, service: str, seconds: float, now: float) -> None:
        """Note how long a backend server took.

        :param service: the service that it belongs to.
        :param seconds: time to the beginning of its answer.
        :param now: local time in seconds.
        """
        for name in (service, ALL_SERVICES):
            old = self._averages.get(name)
            ms = seconds * 1000
            if old is not None:
                ms = old.ms + _WEIGHT * (ms - old.ms)
            self._averages[name] = _Average(ms, now)

    def ms(self, service: str, now: float) -> float:
        """Return the average of a service in milliseconds, 0 if unknown.

        :param service: the service, or :data:`ALL_SERVICES`.
        :param now: local time in seconds.
        """
        average = self._averages.get(service)
        return 0.0 if average is None else average.at(now)
