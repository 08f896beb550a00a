"""Tests of workflows."""
