"""Reports of ended attempts, kept until their owners acknowledge them."""

import dataclasses

from citronrail.model import messages
from citronrail.model import specs

RESEND_INTERVAL_S = 2.0


@dataclasses.dataclass(frozen=True)
class _PendingReport:
    report: messages.TaskReport
    send_at: float


class ReportQueue:
    """Unacknowledged reports, and attempts that the worker is to forget."""

    def __init__(self) -> None:
        self._pending: dict[specs.AttemptId, _PendingReport] = {}
        self._to_forget: set[specs.AttemptId] = set()

    def __len__(self) -> int:
        return len(self._pending)

    def __contains__(self, attempt: specs.AttemptId) -> bool:
        return attempt in self._pending

    def add(self, report: messages.TaskReport, now: float) -> bool:
        """Queue a report until it is acknowledged.

        :param report: the report.
        :param now: local time.
        :returns: False if the attempt has been reported already.
        """
        attempt = report.attempt
        if attempt in self._pending or attempt in self._to_forget:
            return False
        self._pending[attempt] = _PendingReport(report, now)
        return True

    def take_due(self, now: float) -> tuple[messages.TaskReport, ...]:
        """Return the reports to send now and schedule their repetition."""
        due = [e for e in self._pending.values() if e.send_at <= now]
        for entry in due:
            self._pending[entry.report.attempt] = _PendingReport(
                entry.report, now + RESEND_INTERVAL_S
            )
        return tuple(entry.report for entry in due)

    def resend_now(self, attempt: specs.AttemptId, now: float) -> None:
        """Make the report of an attempt due now, if there is one."""
        entry = self._pending.get(attempt)
        if entry is not None:
            self._pending[attempt] = _PendingReport(entry.report, now)

    def acknowledge(self, attempts: tuple[specs.AttemptId, ...]) -> None:
        """Remove reports that their owners have committed."""
        for attempt in attempts:
            if self._pending.pop(attempt, None) is not None:
                self._to_forget.add(attempt)

    def to_forget(self) -> tuple[specs.AttemptId, ...]:
        """Return the attempts that the worker is to forget."""
        return tuple(self._to_forget)

    def confirm_forgotten(self, attempts: tuple[specs.AttemptId, ...]) -> None:
        """Remove attempts that the worker has forgotten."""
        self._to_forget.difference_update(attempts)

    def reports(self) -> tuple[messages.TaskReport, ...]:
        """Return all unacknowledged reports."""
        return tuple(entry.report for entry in self._pending.values())
