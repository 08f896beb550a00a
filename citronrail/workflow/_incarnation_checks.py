"""Asks the worker of this host which announced incarnation it is."""

import collections.abc

import trio

from citronrail import errors
from citronrail.model import messages
from citronrail.model import recency
from citronrail import observability
from citronrail.observability.catalogue import workflow as events
from citronrail import ports
from citronrail.workflow import _metrics as metrics

RETRY_S = 0.2
# Announcements of other writers must not displace that of the worker, which
# is repeated, nor fill the memory.
MAX_UNCONFIRMED = 8

_Key = tuple[str, int]  # worker ID, time of birth in Unix milliseconds


class IncarnationChecks:
    """Confirms announced incarnations by a call to the worker itself.

    Anyone who reaches the port for announcements can announce an incarnation.
    The call names the incarnation, and any other one refuses it.

    :param worker: the worker.
    :param fencing: returns the newest fencing token, 0 if none was seen. A
        worker refuses calls with an older one, so none is made before.
    :param current: returns the current incarnation, None before the first.
    :param on_confirmed: receives a confirmed incarnation, which is the present
        one: births don't tell, as the clock of a host may be set back.
    """

    def __init__(
        self,
        worker: ports.TaskWorker,
        fencing: collections.abc.Callable[[], int],
        current: collections.abc.Callable[[], messages.WorkerLife | None],
        on_confirmed: collections.abc.Callable[[messages.WorkerLife], None],
    ) -> None:
        self._worker = worker
        self._fencing = fencing
        self._current = current
        self._on_confirmed = on_confirmed
        self._unconfirmed: dict[_Key, messages.WorkerLife] = {}
        self._wake = trio.Event()

    def add(self, life: messages.WorkerLife) -> None:
        """Check an announced incarnation.

        :param life: its latest announcement.
        """
        key = (life.worker_id, life.born_ms)
        recency.put_last(self._unconfirmed, key, life, MAX_UNCONFIRMED)
        self.wake()

    def remove(self, worker_id: str) -> None:
        """Drop the incarnations of a worker that has ended."""
        for key in [key for key in self._unconfirmed if key[0] == worker_id]:
            del self._unconfirmed[key]

    def wake(self) -> None:
        """Check at once, after a change of the fencing token."""
        self._wake.set()

    async def run(self) -> None:
        """Check announced incarnations until cancelled."""
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            while self._unconfirmed and self._fencing():
                for key in tuple(self._unconfirmed):
                    await self._check(key)
                if self._unconfirmed:
                    await trio.sleep(RETRY_S)

    async def _check(self, key: _Key) -> None:
        life = self._unconfirmed.get(key)
        if life is None:
            return
        before = self._current_key()
        order = ports.LeaseOrder(self._fencing(), acknowledged=0)
        try:
            worker_list = await self._worker.list_runs(life, order)
        except errors.AnotherIncarnation as exc:
            self._refuse(key, exc.message)
            return
        except errors.CitronrailError:
            return  # no evidence; the check is repeated
        if self._current_key() != before:
            return  # the answer may be one of the incarnation before
        if worker_list.born_ms not in (0, life.born_ms):
            self._refuse(key, f'the worker was born at {worker_list.born_ms}')
            return
        if not worker_list.born_ms and _is_earlier(key, before):
            self._refuse(key, 'its list has no time of birth')
            return
        latest = self._unconfirmed.pop(key, None)
        if latest is not None:
            self._on_confirmed(latest)

    def _current_key(self) -> _Key | None:
        life = self._current()
        return None if life is None else (life.worker_id, life.born_ms)

    def _refuse(self, key: _Key, reason: str) -> None:
        if self._unconfirmed.pop(key, None) is None:
            return
        metrics.INCARNATIONS_REFUSED.inc()
        observability.emit(
            events.INCARNATION_REFUSED,
            worker=key[0],
            born=key[1],
            reason=reason,
        )


def _is_earlier(key: _Key, current: _Key | None) -> bool:
    """Whether an incarnation has the current one's ID and was born before."""
    return current is not None and key[0] == current[0] and key[1] < current[1]
