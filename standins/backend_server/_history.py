"""Record of the requests that a backend server ran, for later checks."""

import collections
import dataclasses
import time

MAX_HISTORY_RUNS = 200_000


@dataclasses.dataclass
class RunRecord:
    """One run; Unix times in seconds, ``ended`` is 0 while it is active.

    ``key`` is the caller's business key, such as an order's number.
    """

    request_id: str
    key: str
    started: float
    ended: float = 0.0


class History:
    """The latest runs, and counts of all runs."""

    def __init__(self) -> None:
        self.runs: collections.deque[RunRecord] = collections.deque(
            maxlen=MAX_HISTORY_RUNS
        )
        self.by_request: collections.Counter[str] = collections.Counter()
        self.by_key: collections.Counter[str] = collections.Counter()
        self.in_progress = 0
        self.most_in_progress = 0

    def begin(self, request_id: str, key: str) -> RunRecord:
        """Record the start of a run.

        :param request_id: citronrail's id of the request.
        :param key: the caller's business key, or ''.
        :returns: its record, to be passed to :meth:`end`.
        """
        record = RunRecord(request_id, key, time.time())
        self.runs.append(record)
        if request_id:
            self.by_request[request_id] += 1
        if key:
            self.by_key[key] += 1
        self.in_progress += 1
        self.most_in_progress = max(self.most_in_progress, self.in_progress)
        return record

    def end(self, record: RunRecord) -> None:
        """Record the end of a run.

        :param record: its record.
        """
        record.ended = time.time()
        self.in_progress -= 1

    def summary(self) -> dict[str, object]:
        """Return the history as JSON-compatible data."""
        return {
            'total': sum(1 for _ in self.runs),
            'in_progress': self.in_progress,
            'most_in_progress': self.most_in_progress,
            'duplicated_requests': {
                key: count
                for key, count in self.by_request.items()
                if count > 1
            },
            'by_key': dict(self.by_key),
            'runs': [dataclasses.asdict(run) for run in self.runs],
        }
