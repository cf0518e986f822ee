"""Leases, terms, elections and moves of slices.

Public modules: configs, directory, membership, node. The others hold the
decisions: changes, elections, leadership, leases, records.
"""
