"""Orders that are due for a worker."""

import dataclasses

from citronrail.model import messages
from citronrail import observability
from citronrail.observability.catalogue import workflow as events
from citronrail.workflow import _job
from citronrail.workflow import _metrics as metrics
from citronrail.workflow import _report_flow
from citronrail.workflow import _scheduler_state
from citronrail.workflow import _worker_view

LEASE_RENEW_INTERVAL_S = 1.0
# With an older list the lease isn't renewed, so that the runs of an
# unreachable worker end by themselves.
LEASE_RENEW_MAX_LIST_AGE_S = 2.0


@dataclasses.dataclass(frozen=True)
class DueOrders:
    """Orders for one worker, and the runs that they start."""

    orders: messages.WorkerOrders
    starting: tuple[_job.Attempt, ...] = ()


def due_orders(
    view: _worker_view.WorkerView,
    starting: list[_job.Attempt],
    fencing: int,
    lease_s: float,
    now: float,
) -> DueOrders | None:
    """Return the orders that are due for a worker, None if there are none.

    :param view: the worker; the orders are recorded there as sent.
    :param starting: committed runs to start on the worker.
    :param fencing: fencing token of this scheduler.
    :param lease_s: duration of leases in seconds.
    :param now: local time in seconds.
    """
    stops = _due_stops(view, now)
    paces = _due_paces(view)
    acknowledges = view.acknowledged > view.sent_acknowledged
    renews = _renewal_due(view, bool(starting), now)
    confirms = (
        view.reports_applied - view.reports_confirmed
        >= _report_flow.MAX_UNCONFIRMED
    )
    if not (stops or paces or acknowledges or renews or starting or confirms):
        return None
    view.reports_confirmed = view.reports_applied
    lease_until = view.extend_lease(now, lease_s) if renews else 0
    view.sent_acknowledged = view.acknowledged
    return DueOrders(
        messages.WorkerOrders(
            fencing=fencing,
            worker_id=view.worker_id,
            born_ms=view.life.born_ms,
            lease_until_ms=lease_until,
            acknowledged=view.acknowledged,
            starts=tuple(_start_order(attempt) for attempt in starting),
            stops=stops,
            paces=paces,
            number=view.orders.add(now),
            reports=view.reports_applied,
        ),
        tuple(starting),
    )


def _renewal_due(
    view: _worker_view.WorkerView, starts: bool, now: float
) -> bool:
    if (
        not view.token_confirmed
        or not view.may_extend_leases
        or now - view.listed_at > LEASE_RENEW_MAX_LIST_AGE_S
    ):
        return False
    if not view.attempts and not starts:
        return False
    return starts or now - view.renewed_at >= LEASE_RENEW_INTERVAL_S


def _start_order(attempt: _job.Attempt) -> messages.StartOrder:
    task = attempt.task
    return messages.StartOrder(
        task.name,
        attempt.number,
        task.stage.job.record.spec.argument,
        task.checkpoint,
    )


def _due_stops(
    view: _worker_view.WorkerView, now: float
) -> tuple[messages.TaskRun, ...]:
    stops = []
    for attempt in view.attempts.values():
        if not attempt.ordered:
            continue
        missing = _is_missing(view, attempt)
        if not (attempt.stop_reason or missing):
            continue
        if now - attempt.stop_sent_at < _scheduler_state.STOP_RETRY_S:
            continue
        if missing and not attempt.stop_requested_at:
            _log_missing(view, attempt, now)
        attempt.stop_sent_at = now
        attempt.stop_requested_at = attempt.stop_requested_at or now
        stops.append(messages.TaskRun(attempt.task.name, attempt.number))
    for key, sent_at in view.unknown_run_stops.items():
        if now - sent_at >= _scheduler_state.STOP_RETRY_S:
            view.unknown_run_stops[key] = now
            stops.append(messages.TaskRun(*key))
    return tuple(stops)


def _is_missing(view: _worker_view.WorkerView, attempt: _job.Attempt) -> bool:
    """Whether the worker's lists show that a run has not been started.

    Its order may be carried out later, so it still has to be stopped. The time
    since the order is no evidence: orders and reports may be late.
    """
    if attempt.missing_from_ms is None:
        return False
    if attempt.order_number:
        return True
    missing_ms = view.clock_ms - attempt.missing_from_ms
    return missing_ms >= _scheduler_state.INHERITED_GRACE_MS


def _log_missing(
    view: _worker_view.WorkerView, attempt: _job.Attempt, now: float
) -> None:
    metrics.RUNS_STOPPED.labels('missing').inc()
    observability.emit(
        events.MISSING_RUN_STOPPED,
        task=attempt.task.name,
        run=attempt.number,
        worker=view.worker_id,
        seconds=round(now - attempt.order_sent_at, 2),
        number=attempt.order_number,
        settled=view.settled_order,
    )


def _due_paces(
    view: _worker_view.WorkerView,
) -> tuple[messages.PaceOrder, ...]:
    paces = []
    for attempt in view.attempts.values():
        if not attempt.pace_due:
            continue
        attempt.pace_due = False
        paces.append(
            messages.PaceOrder(attempt.task.name, attempt.number, attempt.pace)
        )
    return tuple(paces)
