"""Reports of ended attempts, kept until their owner committed them."""

import dataclasses

from citronrail.model import messages
from citronrail.model import specs

RESEND_INTERVAL_S = 2.0


@dataclasses.dataclass(frozen=True)
class _PendingReport:
    report: messages.TaskReport
    send_at: float


class ReportQueue:
    """Unacknowledged reports and attempts that the worker shall forget."""

    def __init__(self) -> None:
        self._pending: dict[specs.AttemptId, _PendingReport] = {}
        self._to_forget: set[specs.AttemptId] = set()

    def __len__(self) -> int:
        return len(self._pending)

    def __contains__(self, attempt: specs.AttemptId) -> bool:
        return attempt in self._pending

    def add(self, report: messages.TaskReport, now: float) -> bool:
        """Keep a report until it is acknowledged.

        :param report: the report.
        :param now: local time.
        :returns: False if the attempt was reported already.
        """
        attempt = report.attempt
        if attempt in self._pending or attempt in self._to_forget:
            return False
        self._pending[attempt] = _PendingReport(report, now)
        return True

    def take_due(self, now: float) -> tuple[messages.TaskReport, ...]:
        """Return the reports to send now and put them off."""
        due = [e for e in self._pending.values() if e.send_at <= now]
        for entry in due:
            self._pending[entry.report.attempt] = _PendingReport(
                entry.report, now + RESEND_INTERVAL_S
            )
        return tuple(entry.report for entry in due)

    def resend_now(self, attempt: specs.AttemptId, now: float) -> None:
        """Send a report again at once, if it is kept."""
        entry = self._pending.get(attempt)
        if entry is not None:
            self._pending[attempt] = _PendingReport(entry.report, now)

    def acknowledge(self, attempts: tuple[specs.AttemptId, ...]) -> None:
        """Drop reports that are committed."""
        for attempt in attempts:
            if self._pending.pop(attempt, None) is not None:
                self._to_forget.add(attempt)

    def to_forget(self) -> tuple[specs.AttemptId, ...]:
        """Return attempts that the worker shall forget."""
        return tuple(self._to_forget)

    def confirm_forgotten(self, attempts: tuple[specs.AttemptId, ...]) -> None:
        """Note that the worker forgot them."""
        self._to_forget.difference_update(attempts)

    def reports(self) -> tuple[messages.TaskReport, ...]:
        """Return all unacknowledged reports."""
        return tuple(entry.report for entry in self._pending.values())
