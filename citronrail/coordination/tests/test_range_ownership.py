"""Tests of distribution, failover and outages of range ownership."""

from citronrail.coordination.tests import _fleet


def _range_counts(fleet):
    return sorted(len(node.owned()) for node in fleet.nodes.values())


async def test_ranges_are_distributed_evenly(nursery, autojump_clock):
    """Guards against an uneven distribution of ranges."""
    fleet = _fleet.Fleet(nursery)
    await fleet.start('a')
    await fleet.advance(3)
    assert _range_counts(fleet) == [8]
    await fleet.start('b')
    await fleet.start('c')
    await fleet.advance(40)
    assert _range_counts(fleet) == [2, 3, 3]
    await fleet.nodes['b'].ownership.drain()
    await fleet.advance(3)
    assert _range_counts(fleet) == [0, 4, 4]


async def test_ranges_of_killed_entry_are_taken_over(nursery, autojump_clock):
    """Guards against ranges taken over too early or never."""
    fleet = _fleet.Fleet(nursery)
    await fleet.start('a')
    await fleet.start('b')
    await fleet.advance(30)
    fleet.kill('a')
    await fleet.advance(4)
    assert _range_counts(fleet) == [4]
    await fleet.advance(7)
    assert _range_counts(fleet) == [8]
    taken = fleet.nodes['b'].listener.acquisitions[-1]
    assert taken.previous == 'a' and not taken.handed_over


async def test_promises_extend_ownership_in_outage(nursery, autojump_clock):
    """Guards key reservations during a store outage."""
    fleet = _fleet.Fleet(nursery)
    for name in 'abc':
        await fleet.start(name)
    await fleet.advance(40)
    before = {name: node.owned() for name, node in fleet.nodes.items()}
    fleet.store.set_faults(outage=True)
    await fleet.advance(60)
    assert before == {n: node.owned() for n, node in fleet.nodes.items()}
    assert not any(node.committing() for node in fleet.nodes.values())
    fleet.store.set_faults(outage=False)
    await fleet.advance(5)
    assert before == {n: node.committing() for n, node in fleet.nodes.items()}
    assert all(
        node.listener.acquisitions[-1].continued
        for node in fleet.nodes.values()
    )
