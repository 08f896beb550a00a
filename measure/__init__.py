"""Load generators and experiments."""
