"""Workers as the scheduling entry knows them, with what they owe it."""

from citronrail.model import messages
from citronrail.workflow import _interference
from citronrail.workflow import _job

# A worker's clock may run this much slower than ours; the platform states
# 2%, and 1% is added for our own.
MAX_CLOCK_DRIFT_RATIO = 0.03
MAX_LIST_AGE_S = 2.5  # an older list doesn't say what runs now


class WorkerView:
    """One life of a worker, reached through the agent beside it.

    Times are local and in seconds.

    :param node: agent beside the worker.
    :param life: what the worker announced.
    """

    def __init__(self, node: str, life: messages.WorkerLife) -> None:
        self.node = node
        self.life = life
        self.connected = True
        self.token_confirmed = False  # whether it has confirmed our token
        self.clock_ms = 0
        self.clock_read_at = 0.0
        self.listed_at = 0.0
        self.lease_ends_at = 0.0  # when all runs there have surely ended
        self.may_hold_stale_orders = False  # holds orders for an earlier life
        self.lease_until_ms = 0  # last order, on the worker's clock
        self.renewed_at = 0.0
        self.applied = 0  # ends up to this number are in the jobs' state
        self.acknowledged = 0  # ends up to this number are committed
        self.sent_acknowledged = 0
        self.drain_ends_at = 0.0
        self.attempts: dict[tuple[str, int], _job.Attempt] = {}
        self.unknown_run_stops: dict[tuple[str, int], float] = {}
        self.avoid_until = 0.0
        self.failed_jobs: list[str] = []  # jobs of the latest failed runs
        self.serving: tuple[_interference.ServingTask, ...] = ()
        self.target_missed_since = 0.0  # a target is missed since then, or 0
        self.target_violated = False  # a target is missed in spite of cuts
        self.speed = 1.0  # smoothed, 1 is as estimated
        self.speed_measured_at = 0.0  # time of its last measurement

    @property
    def worker_id(self) -> str:
        """Id of the worker."""
        return self.life.worker_id

    @property
    def draining(self) -> bool:
        """Whether the worker has announced its end."""
        return self.life.state != 'ready'

    def matches(self, worker_id: str, born_ms: int) -> bool:
        """Whether this is that life of that worker."""
        return (
            self.life.worker_id == worker_id and self.life.born_ms == born_ms
        )

    def usable(self, now: float) -> bool:
        """Whether a start would be carried out, as far as is known."""
        return (
            self.connected
            and self.token_confirmed
            and not self.draining
            and now - self.listed_at < MAX_LIST_AGE_S
        )

    def extend_lease(self, now: float, lease_s: float) -> int:
        """Extend the lease and return its end on the worker's clock.

        The worker's clock shows at least its last reading and the time since
        then less the margin, so by our clock the lease has surely ended at
        :attr:`lease_ends_at`.

        :param now: local time.
        :param lease_s: how long the lease shall last.
        :returns: milliseconds on the worker's clock, 0 without a reading.
        """
        if not self.clock_ms:
            return 0
        ends_at = now + lease_s
        elapsed_s = (ends_at - self.clock_read_at) * (
            1.0 - MAX_CLOCK_DRIFT_RATIO
        )
        self.lease_ends_at = max(self.lease_ends_at, ends_at)
        self.renewed_at = now
        self.lease_until_ms = self.clock_ms + int(elapsed_s * 1000)
        return self.lease_until_ms

    def record_list(self, clock_ms: int, now: float) -> None:
        """Note that a list made at ``clock_ms`` has arrived now."""
        self.clock_ms = clock_ms
        self.clock_read_at = now
        self.listed_at = now
