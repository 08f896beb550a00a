"""Commits many changes of a document in few store calls."""

import dataclasses
import random

import trio

from citronrail import coordination
from standins import key_value


@dataclasses.dataclass(frozen=True)
class Orders:
    """The document: names of orders."""

    names: tuple[str, ...] = ()


async def main() -> None:
    """Run the example."""
    store = key_value.MemoryStore()
    lease = coordination.FencedLease(
        store, 'orders', coordination.Member('entry-1', 'boot-1')
    )
    async with trio.open_nursery() as nursery:
        token = await nursery.start(lease.run)
        scope = coordination.CommitScope(
            lease.guard, token, lambda: lease.held_until > trio.current_time()
        )
        document = coordination.GroupCommitDocument(
            store, '/orders', Orders(), scope, random.Random(1)
        )
        await nursery.start(document.run)
        calls = store.calls['txn']

        async def order(name: str) -> None:
            await document.commit(lambda doc: Orders((*doc.names, name)))

        async with trio.open_nursery() as callers:
            for number in range(50):
                callers.start_soon(order, f'order-{number}')
        print(f'orders: {len(document.value.names)}')
        print(f'store calls: {store.calls["txn"] - calls}')
        nursery.cancel_scope.cancel()


if __name__ == '__main__':
    trio.run(main)
