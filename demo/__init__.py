"""A run of the whole system on one machine."""
