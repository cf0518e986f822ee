"""Leases, terms, elections and moves of slices.

Public modules: configs, directory, handlers, lifecycle, membership, node.

The threads run in candidacy, leading and news. They call the decisions in
changes, elections, leadership, leases and membership.
"""
