"""A store with the faults that the platform's store has on bad days."""

import contextlib
import dataclasses
import random

import trio

from citronrail import errors
from citronrail import ports
from standins import key_value

# Longest wait for the answer of a watch that hears nothing.
WATCH_TIMEOUT_S = 3.2
CALL_TIMEOUT_S = 1.0
MIN_LATENESS_S = 1.0
MAX_LATENESS_S = 6.0


@dataclasses.dataclass
class Flaws:
    """Active flaws.

    :param late_share: share of writes that get no answer and are executed
        1 to 6 s later, if their condition holds then.
    :param deaf: watches receive nothing, and fail after a time-out.
    :param skip_events: watches leave out all changes, without an error.
    :param page_items: items of a page of a listing, 0 for all; other calls
        take effect between two pages.
    :param page_s: seconds between two pages.
    """

    late_share: float = 0.0
    deaf: bool = False
    skip_events: bool = False
    page_items: int = 0
    page_s: float = 0.1


class FlawedStore(key_value.MemoryStore):
    """An in-memory store with more flaws.

    :param rng: random number generator.
    """

    def __init__(self, rng: random.Random) -> None:
        super().__init__()
        self.flaws = Flaws()
        self._rng = rng

    async def txn(self, compares, writes) -> ports.TxnResult:
        """Carry out a transaction, perhaps late and without an answer."""
        if self._rng.random() >= self.flaws.late_share:
            return await super().txn(compares, writes)
        trio.lowlevel.spawn_system_task(
            self._execute_later,
            compares,
            writes,
            self._rng.uniform(MIN_LATENESS_S, MAX_LATENESS_S),
        )
        await trio.sleep(self._rng.choice((0.0, CALL_TIMEOUT_S)))
        raise errors.StoreOutcomeUnknown('no answer', step='store.txn')

    async def _execute_later(self, compares, writes, delay_s) -> None:
        await trio.sleep(delay_s)
        while self.faults.outage or self.faults.hang:
            await trio.sleep(0.1)
        with contextlib.suppress(errors.CitronrailError):
            await super().txn(compares, writes)

    async def list(
        self, prefix: str, keep: ports.ItemFilter | None = None
    ) -> ports.Listing:
        """Read a listing in pages, each as of its own revision."""
        page_items = self.flaws.page_items
        listing = await super().list(prefix, keep)
        if not page_items:
            return listing
        items: list[ports.KeyValue] = []
        page = listing
        while True:
            after = items[-1].key if items else ''
            left = [item for item in page.items if item.key > after]
            items += left[:page_items]
            if len(left) <= page_items:
                return ports.Listing(tuple(items), listing.revision)
            await trio.sleep(self.flaws.page_s)
            page = await super().list(prefix, keep)

    @contextlib.asynccontextmanager
    async def watch(self, prefix, start_revision):
        """Receive changes, unless the watch is deaf."""
        async with super().watch(prefix, start_revision) as changes:
            yield self._heard(changes)

    async def _heard(self, changes):
        async for batch in changes:
            deaf_since = trio.current_time()
            while self.flaws.deaf:
                await trio.sleep(0.1)
                if trio.current_time() - deaf_since > WATCH_TIMEOUT_S:
                    raise errors.StoreOutcomeUnknown(
                        'no answer', step='store.watch'
                    )
            yield () if self.flaws.skip_events else batch
