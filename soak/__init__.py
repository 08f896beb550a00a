"""Randomized fault injection against real entry and agent processes."""
