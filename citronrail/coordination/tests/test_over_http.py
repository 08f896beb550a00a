"""Integration test over the store's HTTP protocol, in real time."""

import random

import trio

from citronrail.adapters.tests import test_etcd_store
from citronrail import coordination
from citronrail.coordination.tests import _fleet


async def test_an_entry_on_the_http_store():
    """Guards against differences between the HTTP store and the fake.

    Over HTTP, lease TTLs are whole seconds, replies take time and watches are
    streams.
    """
    async with test_etcd_store.served_over_http() as served:
        budget = coordination.StoreBudget(50, 250)
        budgeted = coordination.BudgetedStore(served.client, budget)
        lease = budgeted.for_use(coordination.StoreUse.LEASE)
        settings = budgeted.for_use(coordination.StoreUse.SETTINGS)
        async with trio.open_nursery() as nursery:
            hub = _fleet.Hub(_fleet.Network(nursery), 'a', 'boot')
            ownership = coordination.RangeOwnership(
                lease, hub, 'tcp://127.0.0.1:1'
            )
            follower = coordination.SettingsFollower(settings)
            writer = coordination.SettingsWriter(
                settings, None, random.Random(1)
            )
            with trio.fail_after(30):
                await nursery.start(follower.run)
                await nursery.start(ownership.run)
                await ownership.joined()
                while len(ownership.owned()) < coordination.RANGE_COUNT:
                    await trio.sleep(0.05)
                await writer.apply(
                    'c1',
                    lambda old: old,
                    'nothing',
                    deadline=trio.current_time() + 5,
                )
                assert (await follower.changed(0)).version == 1
                owned = ownership.owned()[0]
                assert (await served.client.txn([owned.guard], [])).succeeded
                await ownership.drain()
            assert ownership.owned() == ()
            assert served.memory.state.list('/citronrail/entries/').items == ()
            assert budget.calls[coordination.StoreUse.SETTINGS, 'watch'] == 1
            nursery.cancel_scope.cancel()
