"""Drills: real processes under failure."""
