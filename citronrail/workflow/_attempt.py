"""Runs of tasks as the scheduler knows them."""

import typing

if typing.TYPE_CHECKING:
    from citronrail.workflow import _stage

PACE_ORDER_DELAY_S = 0.2  # from sending a pace to its effect on the worker
TAIL_WINDOW_S = 0.5  # time that a reported tail latency covers


class Attempt:
    """One run of a task on a worker.

    It is kept until the run has certainly ended. Times are local, in seconds;
    0 means not yet.
    """

    __slots__ = (
        'assigned_at',
        'born_ms',
        'checkpoint_at',
        'from_start',
        'lasted',
        'lease_left_s',
        'leases_end_at',
        'listed_at',
        'listed_clock_ms',
        'listed_percent',
        'load',
        'missing_from_ms',
        'moved_at',
        'node',
        'number',
        'order_number',
        'order_sent_at',
        'ordered',
        'pace',
        'pace_before',
        'pace_certain_at',
        'pace_due',
        'pace_set_at',
        'paced_s',
        'percent',
        'steady_percent',
        'steady_since',
        'starved_since',
        'stop_reason',
        'stop_requested_at',
        'stop_sent_at',
        'task',
        'worker_id',
    )

    def __init__(
        self,
        task: '_stage.Task',
        number: int,
        node: str,
        worker_id: str,
        born_ms: int,
        assigned_at: float = 0.0,
    ) -> None:
        self.task = task
        self.number = number
        self.node = node
        self.worker_id = worker_id
        self.born_ms = born_ms
        self.assigned_at = assigned_at  # Unix time in seconds
        self.ordered = False  # whether the start order may have been sent
        self.order_sent_at = 0.0
        # Number of the start order; 0 if another scheduler sent it.
        self.order_number = 0
        # Of an inherited run: bound on the end of its worker's leases that an
        # earlier scheduler has stored, and what is to be stored of it.
        self.leases_end_at = float('inf')
        self.lease_left_s = 0.0
        self.listed_at = 0.0  # first time on the worker's list
        self.listed_clock_ms = 0  # that time on the worker's clock
        # Whether it was listed for long enough to show that its start did
        # not crash the worker.
        self.lasted = False
        self.listed_percent = 0  # progress at that time
        # Time on the worker's clock of the first list that reflects its start
        # order and doesn't show it; None if there is none.
        self.missing_from_ms: int | None = None
        self.moved_at = 0.0  # last change of the percentage
        self.checkpoint_at = 0.0  # last change of its checkpoint
        self.percent = -1
        self.steady_since = 0.0  # start of the current pace
        self.steady_percent = 0  # progress at that time
        self.load = 0.0  # tail latency in ms, or cores in thousandths
        self.pace = 100  # CPU limit in percent
        self.pace_before = 0
        self.pace_set_at = 0.0
        self.pace_due = False  # whether the pace has to be sent
        # From then on, measured tails reflect the pace; inf for a run whose
        # pace an earlier scheduler has set and this one hasn't.
        self.pace_certain_at = 0.0
        self.paced_s = 0.0  # run time at full pace, up to the last change
        # Whether this scheduler ordered it without a checkpoint.
        self.from_start = False
        self.starved_since = 0.0  # the pace is too low since then
        self.stop_reason = ''  # '' unless it is being stopped
        self.stop_requested_at = 0.0  # first stop order
        self.stop_sent_at = 0.0

    def set_pace(self, pace: int, now: float) -> None:
        """Set the pace, in percent."""
        self.paced_s = self.full_pace_s(now)
        self.pace_before = self.pace
        self.pace = pace
        self.pace_set_at = now
        if self.pace_certain_at == float('inf'):
            self.pace_certain_at = now + PACE_ORDER_DELAY_S + TAIL_WINDOW_S

    def full_pace_s(self, now: float) -> float:
        """Return how long it has run, times its mean pace.

        :param now: local time in seconds.
        :returns: seconds at full pace.
        """
        if not self.listed_at:
            return 0.0
        since = max(self.listed_at, self.pace_set_at)
        return self.paced_s + self.pace / 100 * max(0.0, now - since)

    def measured_pace(self, now: float) -> float:
        """Return the mean pace during the window of a tail measured now.

        :param now: local time in seconds.
        :returns: percentage.
        """
        changed_at = self.pace_set_at or self.order_sent_at
        elapsed_ratio = (now - changed_at - PACE_ORDER_DELAY_S) / TAIL_WINDOW_S
        elapsed_ratio = min(1.0, max(0.0, elapsed_ratio))
        return self.pace_before + elapsed_ratio * (
            self.pace - self.pace_before
        )

    def stop_loss_s(self, now: float) -> float:
        """Return the run time that is lost if it is stopped now.

        :param now: local time in seconds.
        :returns: seconds at full pace since its last checkpoint, or since
            its first listing if its step saves no progress.
        """
        kept_at = self.listed_at
        if self.task.stage.spec.saves_progress:
            kept_at = max(kept_at, self.checkpoint_at)
        return max(0.0, now - kept_at) * self.pace / 100

    @property
    def key(self) -> tuple[str, int]:
        """Key of the run: task name and run number."""
        return (self.task.name, self.number)

    @property
    def life(self) -> tuple[str, int]:
        """ID and time of birth of its worker."""
        return (self.worker_id, self.born_ms)
