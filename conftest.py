"""Hypothesis settings of all tests.

Examples are generated deterministically, so that all runs have the same result.
"""

import hypothesis

hypothesis.settings.register_profile(
    "fixed", derandomize=True, deadline=None, database=None, max_examples=100
)
hypothesis.settings.load_profile("fixed")
