"""Decisions under overload, as pure functions without input and output."""
