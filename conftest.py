"""Settings of the whole test run: the same verdict on every run."""

import hypothesis

hypothesis.settings.register_profile(
    "fixed", derandomize=True, deadline=None, database=None, max_examples=100
)
hypothesis.settings.load_profile("fixed")
