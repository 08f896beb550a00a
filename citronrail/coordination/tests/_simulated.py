"""Runs tests in simulated time with generated store faults."""

from hypothesis import strategies as st
import trio
import trio.testing

FAULTS = st.lists(
    st.tuples(
        st.floats(0.1, 4.0),
        st.sampled_from(
            [
                {'outage': True},
                {'outage': False, 'hang': False, 'delay_s': 0.0},
                {'delay_s': 0.4},
                {'hang': True},
                {'hang': False},
                {'lose_answers': 1},
                {'lose_every': 3},
                {'lose_every': 0},
                {'stale_by': 2},
                {'stale_by': 0},
            ]
        ),
    ),
    max_size=10,
)
NO_FAULTS = {
    'outage': False,
    'hang': False,
    'delay_s': 0.0,
    'lose_every': 0,
    'lose_answers': 0,
    'stale_by': 0,
}


def run(main, *args):
    """Run a trio program in simulated time."""
    return trio.run(
        main, *args, clock=trio.testing.MockClock(autojump_threshold=0)
    )


async def apply_faults(memory, faults):
    """Apply the faults one after another, then clear them all."""
    for pause_s, switches in faults:
        await trio.sleep(pause_s)
        memory.set_faults(**switches)
        memory.drop_watches()
    memory.set_faults(**NO_FAULTS)
