"""Whether the store answers this process, as seen from its own calls.

Load answered: entries that are cut off from the store, and a store that is
down, slow or rejects calls of some entries, while callers keep submitting.
"""

import dataclasses
import enum

# One failed call may be a broken connection; three in a row are not.
MAX_FAILURES = 3
# Longer than the slowest regular answer that was seen (344 ms).
UNREACHABLE_WAIT_S = 0.5
DOUBTFUL_WAIT_S = 0.2
# Callers give up 3 s after their first attempt, so that they retry every
# second except in a long outage.
SHORT_OUTAGE_S = 10.0
SHORT_RETRY_S = 1
LONG_RETRY_S = 2


class Level(enum.Enum):
    """Whether the store can be used."""

    REACHABLE = 'reachable'
    DOUBTFUL = 'doubtful'
    UNREACHABLE = 'unreachable'


@dataclasses.dataclass(frozen=True)
class StoreHealth:
    """Calls in progress and the results of the latest ones.

    Times are local, in seconds. ``failing_since`` is the start of the first
    call of the current series of failures, None if there is none.

    :param waiting: number and start of each call without an answer.
    :param failures: calls that failed since the last answer.
    :param answered_at: time of the last answer.
    :param failing_since: see above.
    """

    waiting: tuple[tuple[int, float], ...] = ()
    failures: int = 0
    answered_at: float = float('-inf')
    failing_since: float | None = None

    def started(self, call: int, now: float) -> 'StoreHealth':
        """Record that a call was sent.

        :param call: number of the call, unique in this process.
        :param now: local time.
        """
        return dataclasses.replace(self, waiting=(*self.waiting, (call, now)))

    def answered(self, call: int, now: float) -> 'StoreHealth':
        """Record an answer, which may be a rejection (429 or 503).

        :param call: number of the call.
        :param now: local time.
        """
        return StoreHealth(self._without(call), 0, now, None)

    def failed(self, call: int, now: float) -> 'StoreHealth':
        """Record that a call got no answer.

        :param call: number of the call.
        :param now: local time.
        """
        since = self.failing_since
        if since is None:
            since = self._started_at(call, now)
        failures = self.failures + 1
        if self.level(now) is Level.UNREACHABLE:
            # The call is no longer waiting, but nothing has answered since.
            failures = max(failures, MAX_FAILURES)
        return dataclasses.replace(
            self,
            waiting=self._without(call),
            failures=failures,
            failing_since=since,
        )

    def abandoned(self, call: int, now: float) -> 'StoreHealth':
        """Record that a call is no longer waited for.

        It counts as a failure only if its wait was long enough for doubt.

        :param call: number of the call.
        :param now: local time.
        """
        if now - self._started_at(call, now) >= DOUBTFUL_WAIT_S:
            return self.failed(call, now)
        return dataclasses.replace(self, waiting=self._without(call))

    def level(self, now: float) -> Level:
        """Return whether the store can be used.

        :param now: local time.
        """
        waited_s = self._waited_s(now)
        if self.failures >= MAX_FAILURES or waited_s >= UNREACHABLE_WAIT_S:
            return Level.UNREACHABLE
        if self.failures or waited_s >= DOUBTFUL_WAIT_S:
            return Level.DOUBTFUL
        return Level.REACHABLE

    def retry_after_s(self, now: float) -> int:
        """Return after how many seconds a caller should try again.

        :param now: local time.
        """
        since = self.failing_since
        if since is None:
            since = now - self._waited_s(now)
        if now - since < SHORT_OUTAGE_S:
            return SHORT_RETRY_S
        return LONG_RETRY_S

    def _waited_s(self, now: float) -> float:
        """Return the longest wait of a call without any answer meanwhile."""
        if not self.waiting:
            return 0.0
        oldest = min(started_at for _, started_at in self.waiting)
        return now - max(oldest, self.answered_at)

    def _started_at(self, call: int, default: float) -> float:
        return dict(self.waiting).get(call, default)

    def _without(self, call: int) -> tuple[tuple[int, float], ...]:
        return tuple(item for item in self.waiting if item[0] != call)
