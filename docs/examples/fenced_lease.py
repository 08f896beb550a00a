"""Holds a name, writes under its guard, and loses it."""

import trio

from citronrail import coordination
from citronrail import errors
from citronrail import ports
from standins import key_value


async def main() -> None:
    """Run the example."""
    store = key_value.MemoryStore()
    me = coordination.Member('entry-1', 'boot-1')
    lease = coordination.FencedLease(store, 'nightly-report', me)
    async with trio.open_nursery() as nursery:
        token = await nursery.start(lease.run)
        print(f'held with token {token}')
        result = await store.txn([lease.guard], [ports.Put('/report', b'1')])
        print(f'write accepted: {result.succeeded}')
        nursery.cancel_scope.cancel()
    await lease.release()
    try:
        lease.check()
    except errors.LeaseLost as exc:
        print(exc)


if __name__ == '__main__':
    trio.run(main)
