"""Tests of the worker stand-in."""
