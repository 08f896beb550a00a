"""Randomized faults against the real programs of the platform."""
