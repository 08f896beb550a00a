"""Real processes under failure, checked against what was recorded."""
