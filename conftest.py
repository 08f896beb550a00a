"""Hypothesis profiles for all tests; ``ci`` is deterministic."""

import os

import hypothesis

hypothesis.settings.register_profile(
    'ci', derandomize=True, deadline=None, max_examples=60, database=None
)
hypothesis.settings.register_profile('dev', deadline=None, max_examples=60)
hypothesis.settings.load_profile(os.environ.get('HYPOTHESIS_PROFILE', 'dev'))
