"""State of one worker as known to the scheduler."""

from citronrail.model import messages
from citronrail.workflow import _interference
from citronrail.workflow import _job
from citronrail.workflow import _order_numbers
from citronrail.workflow import _placement

# By how much a worker's clock may be slower than the local one: 2% guaranteed
# by the platform, and 1% for the local clock.
MAX_CLOCK_DRIFT_RATIO = 0.03
MAX_LIST_AGE_S = 2.5  # nothing is placed on a worker with an older list
# Long enough to survive a failover of the scheduler or a short disconnection
# of the agent, short enough to restart the runs of a lost worker soon.
WORKER_LEASE_S = 8.0


def longest_lease_s(max_lease_s: float) -> float:
    """Return the longest time that a lease lasts after it was ordered.

    :param max_lease_s: longest lease that workers grant, by their clocks.
    :returns: seconds on the local clock.
    """
    return min(max_lease_s, WORKER_LEASE_S) * (1.0 + MAX_CLOCK_DRIFT_RATIO)


class WorkerView:
    """One incarnation (life) of a worker, reached through its agent.

    Times are local, in seconds.

    :param node: agent on the worker's host.
    :param life: the worker's latest announcement.
    """

    def __init__(self, node: str, life: messages.WorkerLife) -> None:
        self.node = node
        self.life = life
        self.connected = True
        # Whether the worker has confirmed this scheduler's fencing token.
        self.token_confirmed = False
        self.clock_ms = 0  # time of the last list on the worker's clock
        # The reading of the worker's clock from which it is estimated; not a
        # late one, which would make leases shorter than they are meant to be.
        self._reading_ms = 0
        self._reading_at = 0.0
        self.listed_at = 0.0  # when the last list was applied
        # Latest time at which the last list can have been made.
        self.list_made_at = 0.0
        # When its agent first failed to reach it; 0 while it is reached.
        self.unreachable_since = 0.0
        self.lease_ends_at = 0.0  # by then all runs have certainly ended
        # Worker incarnations that the agent process has seen, this one
        # included; 0 if its version doesn't tell.
        self.incarnations = 0
        # Orders for an earlier incarnation may still be carried out.
        self.may_hold_stale_orders = False
        # Not before a commit has withdrawn a stored bound on their end.
        self.may_extend_leases = True
        self.lease_until_ms = 0  # last ordered, on the worker's clock
        self.renewed_at = 0.0
        self.applied = 0  # ends up to this number are applied to the jobs
        self.acknowledged = 0  # ends up to this number are committed
        self.sent_acknowledged = 0
        self.drain_ends_at = 0.0
        self.orders = _order_numbers.OrdersSent()
        self.reports_applied = 0  # number of the agent's last report
        self.reports_confirmed = 0  # up to this number, in orders sent
        self.settled_order = 0  # the last list was made after this order
        self.attempts: dict[tuple[str, int], _job.Attempt] = {}
        # Listed runs that this scheduler doesn't know, with the time of the
        # last stop order.
        self.unknown_run_stops: dict[tuple[str, int], float] = {}
        # Runs discarded when their leases expired; whether the worker was
        # lost shows when it is heard of again.
        self.presumed_lost: list[_job.Attempt] = []
        # Job whose suspected tasks are the only new runs here, if any.
        self.probation_job: _job.Job | None = None
        self.held_until = 0.0  # kept free of new runs for a suspected task
        self.avoid_until = 0.0
        self.failed_jobs: list[str] = []  # of runs since the last success
        # Remaining capacity; None if it has to be determined anew.
        self.capacity: _placement.WorkerCapacity | None = None
        self.serving: tuple[_interference.ServingTask, ...] = ()
        self.target_missed_since = 0.0  # 0 while all targets are met
        self.target_missed_at = 0.0  # when one was last missed
        self.target_violated = False  # a target is missed despite throttling
        self.capacity_checked_at = 0.0  # time of the list that was checked
        self.over_capacity_at = 0.0  # first list over capacity, 0 while within
        self.speed = 1.0  # moving average relative to the estimates
        self.speed_measured_at = 0.0

    @property
    def worker_id(self) -> str:
        """ID of the worker."""
        return self.life.worker_id

    @property
    def draining(self) -> bool:
        """Whether the worker has announced that it will stop."""
        return self.life.state == 'draining'

    @property
    def leaving(self) -> bool:
        """Whether the worker is about to end as planned."""
        return self.life.state in ('draining', 'leaving')

    def matches(self, worker_id: str, born_ms: int) -> bool:
        """Whether this is the given incarnation of the given worker."""
        return (
            self.life.worker_id == worker_id and self.life.born_ms == born_ms
        )

    def usable(self, now: float) -> bool:
        """Whether the worker is expected to carry out a start order."""
        return (
            self.connected
            and self.token_confirmed
            and self.may_extend_leases
            and self.life.state == 'ready'
            and not self.unreachable_since
            and now - self.listed_at < MAX_LIST_AGE_S
        )

    def is_silent(self, now: float) -> bool:
        """Whether no lease is extended before the worker is heard of.

        :param now: local time in seconds.
        """
        return not self.connected or now - self.listed_at >= MAX_LIST_AGE_S

    @property
    def new_run_count(self) -> int:
        """Number of runs that the worker has not listed yet."""
        return sum(not attempt.listed_at for attempt in self.attempts.values())

    def leases_expired(self, now: float) -> bool:
        """Whether there are runs, all of which have certainly ended."""
        return bool(self.attempts) and now > self.lease_ends_at

    def extend_lease(self, now: float, lease_s: float) -> int:
        """Extend the lease and return its end on the worker's clock.

        The worker's clock has advanced since its last reading by at least the
        elapsed local time minus the maximum drift. The lease has therefore
        certainly ended at :attr:`lease_ends_at` on the local clock.

        :param now: local time in seconds.
        :param lease_s: duration of the lease in seconds.
        :returns: milliseconds on the worker's clock, 0 without a reading.
        """
        if not self.clock_ms:
            return 0
        ends_at = now + lease_s
        self.lease_ends_at = max(self.lease_ends_at, ends_at)
        self.renewed_at = now
        self.lease_until_ms = self._least_clock_ms(ends_at)
        return self.lease_until_ms

    def _least_clock_ms(self, at: float) -> int:
        """Return what the worker's clock shows at a local time, or less."""
        elapsed_s = (at - self._reading_at) * (1.0 - MAX_CLOCK_DRIFT_RATIO)
        return self._reading_ms + int(elapsed_s * 1000)

    def record_list(self, clock_ms: int, now: float) -> None:
        """Record the arrival of a list made at ``clock_ms``.

        It may have waited in queues; by how long at least shows if an earlier
        list took less time.
        """
        late_ms = 0
        if self.clock_ms:
            late_ms = max(0, self._least_clock_ms(now) - clock_ms)
        if not late_ms:
            self._reading_ms = clock_ms
            self._reading_at = now
        self.clock_ms = clock_ms
        self.listed_at = now
        self.list_made_at = now - late_ms / 1000
        self.unreachable_since = 0.0
