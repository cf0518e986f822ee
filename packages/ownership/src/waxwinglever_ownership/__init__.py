"""Leases, terms, leader elections and the assignment of slices.

Public modules: config_cache, directory, handlers, lifecycle, membership, node.

The threads run the functions of control_loop, leader_loop and propagation.
Decisions are made in record_planning, elections, leader_state, leases and
membership.
"""
