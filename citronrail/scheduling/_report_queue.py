"""Reports of ended attempts, kept until their owner committed them."""

import dataclasses

from citronrail.model import messages
from citronrail.model import specs

RESEND_S = 2.0


@dataclasses.dataclass(frozen=True)
class _Entry:
    report: messages.TaskReport
    send_at: float


class ReportQueue:
    """Unacknowledged reports and attempts that the worker shall forget."""

    def __init__(self) -> None:
        self._entries: dict[specs.AttemptId, _Entry] = {}
        self._forget: set[specs.AttemptId] = set()

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, attempt: specs.AttemptId) -> bool:
        return attempt in self._entries

    def add(self, report: messages.TaskReport, now: float) -> bool:
        """Keep a report until it is acknowledged.

        :param report: the report.
        :param now: local time.
        :returns: False if the attempt was reported already.
        """
        attempt = report.attempt
        if attempt in self._entries or attempt in self._forget:
            return False
        self._entries[attempt] = _Entry(report, now)
        return True

    def due(self, now: float) -> tuple[messages.TaskReport, ...]:
        """Return the reports to send now and put them off."""
        due = [e for e in self._entries.values() if e.send_at <= now]
        for entry in due:
            self._entries[entry.report.attempt] = _Entry(
                entry.report, now + RESEND_S
            )
        return tuple(entry.report for entry in due)

    def hurry(self, attempt: specs.AttemptId, now: float) -> None:
        """Send a report again at once, if it is kept."""
        entry = self._entries.get(attempt)
        if entry is not None:
            self._entries[attempt] = _Entry(entry.report, now)

    def acknowledge(self, attempts: tuple[specs.AttemptId, ...]) -> None:
        """Drop reports that are committed."""
        for attempt in attempts:
            if self._entries.pop(attempt, None) is not None:
                self._forget.add(attempt)

    def to_forget(self) -> tuple[specs.AttemptId, ...]:
        """Return attempts that the worker shall forget."""
        return tuple(self._forget)

    def forgotten(self, attempts: tuple[specs.AttemptId, ...]) -> None:
        """Note that the worker forgot them."""
        self._forget.difference_update(attempts)

    def reports(self) -> tuple[messages.TaskReport, ...]:
        """Return all unacknowledged reports."""
        return tuple(entry.report for entry in self._entries.values())
