"""Measures how late the event loop of this process runs its tasks."""

import trio

from citronrail.daemon import _metrics as metrics
from citronrail import observability
from citronrail.observability.catalogue import daemon as events

INTERVAL_S = 0.25
LATE_S = 0.5  # later wake-ups are logged
LOG_INTERVAL_S = 2.0


async def monitor_loop(
    node: str,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Record the lag of the event loop until cancelled.

    A process that is short of processor time handles messages late; this
    tells it from a slow network.

    :param node: ID of the process, for the log event.
    :param task_status: started at once.
    """
    task_status.started()
    worst_s = 0.0
    logged_at = trio.current_time()
    while True:
        due_at = trio.current_time() + INTERVAL_S
        await trio.sleep_until(due_at)
        now = trio.current_time()
        metrics.LOOP_LAG_SECONDS.observe(now - due_at)
        worst_s = max(worst_s, now - due_at)
        if now - logged_at >= LOG_INTERVAL_S:
            if worst_s >= LATE_S:
                observability.emit(
                    events.LOOP_LATE, node=node, seconds=round(worst_s, 2)
                )
            worst_s, logged_at = 0.0, now
