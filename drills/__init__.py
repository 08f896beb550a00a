"""Failure drills on real processes, verified against recorded history."""
