"""Load tool, experiments, soak runs and reports."""
