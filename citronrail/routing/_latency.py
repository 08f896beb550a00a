"""Average latency of the backend servers of each service."""

import dataclasses

_WEIGHT = 0.1  # of the newest response in the moving average
_HALF_LIFE_S = 5.0  # half-life of an average while there are no responses
ALL_SERVICES = ''


@dataclasses.dataclass(frozen=True)
class _Average:
    ms: float
    recorded_at: float

    def decayed_ms(self, now: float) -> float:
        idle_s = now - self.recorded_at
        return float(self.ms * 0.5 ** (idle_s / _HALF_LIFE_S))


class LatencyAverages:
    """Moving averages of latency, by service.

    Averages decay while there are no responses, so that an agent that was
    slow gets requests again and is measured anew.
    """

    def __init__(self) -> None:
        self._averages: dict[str, _Average] = {}

    def record(self, service: str, seconds: float, now: float) -> None:
        """Record the latency of a backend server.

        :param service: the service that it belongs to.
        :param seconds: time to the start of its response.
        :param now: local time in seconds.
        """
        for name in (service, ALL_SERVICES):
            old = self._averages.get(name)
            ms = seconds * 1000
            if old is not None:
                ms = old.ms + _WEIGHT * (ms - old.ms)
            self._averages[name] = _Average(ms, now)

    def average_ms(self, service: str, now: float) -> float:
        """Return the average of a service in milliseconds, 0 if unknown.

        :param service: the service, or :data:`ALL_SERVICES`.
        :param now: local time in seconds.
        """
        average = self._averages.get(service)
        return 0.0 if average is None else average.decayed_ms(now)
