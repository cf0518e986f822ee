"""HTTP application for callers and operators."""
