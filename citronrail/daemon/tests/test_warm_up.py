"""Tests that a new entry is ready only once it knows its agents."""

import pytest
import trio

from citronrail.daemon import _warm_up


async def _joined():
    await trio.sleep(0.5)


@pytest.mark.parametrize(
    ('arrivals', 'not_before', 'by'),
    [
        pytest.param([1.0, 2.0, 3.0], 4.5, 4.7, id='agents come one by one'),
        pytest.param([0.2], 2.0, 2.2, id='one agent'),
        pytest.param([], 6.0, 6.1, id='a fleet without agents'),
        pytest.param(
            [n / 2 for n in range(40)], 6.0, 6.1, id='an endless stream'
        ),
    ],
)
async def test_ready_once_the_agents_are_known(
    autojump_clock, arrivals, not_before, by
):
    """Guards against requests that wait for agents after a restart."""
    began = trio.current_time()

    def count():
        return sum(at <= trio.current_time() - began for at in arrivals)

    warm_up = _warm_up.WarmUp(count, _joined)
    async with trio.open_nursery() as nursery:
        await nursery.start(warm_up.run)
        await trio.sleep(not_before - 0.1)
        assert not warm_up.done
        await trio.sleep(by - not_before + 0.1)
        assert warm_up.done
        nursery.cancel_scope.cancel()
