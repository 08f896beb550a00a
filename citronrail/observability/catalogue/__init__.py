"""Event kinds, one module for each subsystem."""
