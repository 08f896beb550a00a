"""What an entry knows of the requests that it tries to carry out.

"Not run" may be said only if no write of a request can still take effect.
"""

import collections
import collections.abc
import contextlib
import dataclasses

import trio

from citronrail.workflow import _verdict

# A store that rejects a call may accept the next one.
MIN_TRIES = 2
# A peer that can't carry out a relay at once says so, and the next is asked.
PEER_TRIES = 1
# Submissions of several minutes at the highest rate of a customer.
SUBMISSIONS_REMEMBERED = 4096
# Longer than a caller repeats a submission, and shorter than an ended job is
# kept. Whether the job is stored isn't known after this time.
ACKNOWLEDGED_S = 60.0
Verdict = _verdict.Verdict


@dataclasses.dataclass
class Attempt:
    """Progress of a request by this entry's own store calls.

    ``lost`` is set once a write may have been executed without an answer,
    and ``in_flight`` while one is sent. ``trouble`` is set after the first
    failure. ``alone`` means that no relay can succeed any more; without
    ``bounded`` the request is retried until its deadline regardless, and with
    ``alone`` at least ``min_tries`` times.
    """

    bounded: bool = False
    alone: bool = False
    min_tries: int = MIN_TRIES
    tries: int = 0
    lost: bool = False
    in_flight: bool = False
    reply: _verdict.Reply | None = None
    trouble: trio.Event = dataclasses.field(default_factory=trio.Event)

    @property
    def certain(self) -> bool:
        """Whether no write can still take effect."""
        return not (self.lost or self.in_flight)

    def failed(self) -> None:
        """Record that a call failed."""
        self.in_flight = False
        self.tries += 1
        self.trouble.set()


class SentSubmissions:
    """Submissions of this entry that are or may be stored.

    "Not run" would be wrong for a repeated submission whose earlier attempt
    was stored or got no answer.
    """

    def __init__(self) -> None:
        self._in_progress: collections.Counter[str] = collections.Counter()
        # Outcome and the local time from which it may no longer hold.
        self._ended: collections.OrderedDict[str, tuple[Verdict, float]] = (
            collections.OrderedDict()
        )

    @contextlib.contextmanager
    def in_progress(self, job_id: str) -> collections.abc.Iterator[None]:
        """Mark a submission as being sent; UNKNOWN if it is abandoned."""
        self._in_progress[job_id] += 1
        try:
            yield
        except BaseException:
            self._remember(job_id, Verdict.UNKNOWN)
            raise
        finally:
            self._in_progress[job_id] -= 1
            if not self._in_progress[job_id]:
                del self._in_progress[job_id]

    def settle(self, job_id: str, verdict: Verdict) -> Verdict:
        """Record the end of an attempt.

        :param job_id: ID of the job.
        :param verdict: outcome of this attempt.
        :returns: the outcome with regard to all attempts.
        """
        if verdict in (Verdict.DONE, Verdict.UNKNOWN):
            self._remember(job_id, verdict)
        earlier = self._remembered(job_id)
        if earlier is Verdict.DONE:
            return Verdict.DONE
        if verdict in (Verdict.NOT_RUN, Verdict.UNFIT) and (
            earlier is Verdict.UNKNOWN or job_id in self._in_progress
        ):
            return Verdict.UNKNOWN
        return verdict

    def _remembered(self, job_id: str) -> Verdict | None:
        if job_id not in self._ended:
            return None
        verdict, holds_until = self._ended[job_id]
        if trio.current_time() >= holds_until:
            return Verdict.UNKNOWN
        return verdict

    def _remember(self, job_id: str, verdict: Verdict) -> None:
        holds_until = trio.current_time() + ACKNOWLEDGED_S
        if (
            verdict is Verdict.DONE
            or self._remembered(job_id) is not Verdict.DONE
        ):
            self._ended[job_id] = (verdict, holds_until)
        if len(self._ended) > SUBMISSIONS_REMEMBERED:
            self._ended.popitem(last=False)
