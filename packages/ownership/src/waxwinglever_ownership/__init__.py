"""Leases, terms, elections and moves of slices."""
