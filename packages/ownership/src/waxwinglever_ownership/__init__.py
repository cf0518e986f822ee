"""Leases, terms, leader elections and the assignment of slices.

Public modules: configs, directory, handlers, lifecycle, membership, node.

The threads run the functions of control_loop, leader_loop and propagation.
Decisions are made in changes, elections, leadership, leases and membership.
"""
