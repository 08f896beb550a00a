"""Guards that a range never has two owners, whatever fails."""

from citronrail.coordination.tests import _fleet


def _spread(fleet):
    return sorted(len(node.owned()) for node in fleet.nodes.values())


async def test_ranges_are_spread_evenly(nursery, autojump_clock):
    """Guards against an entry that keeps or loses more than its share."""
    fleet = _fleet.Fleet(nursery)
    await fleet.start('a')
    await fleet.pass_time(3)
    assert _spread(fleet) == [8]
    await fleet.start('b')
    await fleet.start('c')
    await fleet.pass_time(40)
    assert _spread(fleet) == [2, 3, 3]
    await fleet.nodes['b'].ownership.drain()
    await fleet.pass_time(3)
    assert _spread(fleet) == [0, 4, 4]


async def test_killed_entry_is_replaced(nursery, autojump_clock):
    """Guards against ranges that nobody takes over, or takes too early."""
    fleet = _fleet.Fleet(nursery)
    await fleet.start('a')
    await fleet.start('b')
    await fleet.pass_time(30)
    fleet.kill('a')
    await fleet.pass_time(4)
    assert _spread(fleet) == [4]
    await fleet.pass_time(7)
    assert _spread(fleet) == [8]
    taken = fleet.nodes['b'].log.acquisitions[-1]
    assert taken.previous == 'a' and not taken.handed_over


async def test_outage_is_bridged_by_promises(nursery, autojump_clock):
    """Guards non-idempotent requests against a store outage."""
    fleet = _fleet.Fleet(nursery)
    for name in 'abc':
        await fleet.start(name)
    await fleet.pass_time(40)
    before = {name: node.owned() for name, node in fleet.nodes.items()}
    fleet.store.set_faults(outage=True)
    await fleet.pass_time(60)
    assert before == {n: node.owned() for n, node in fleet.nodes.items()}
    assert not any(node.committing() for node in fleet.nodes.values())
    fleet.store.set_faults(outage=False)
    await fleet.pass_time(5)
    assert before == {n: node.committing() for n, node in fleet.nodes.items()}
    assert all(
        node.log.acquisitions[-1].continued for node in fleet.nodes.values()
    )
