"""End-to-end demonstration of the system on one machine."""
