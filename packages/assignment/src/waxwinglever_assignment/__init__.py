"""Ownership of key ranges, assigned in the store and held under leases.

Public modules: tables, fleet, loads, replicas, sessions, holder,
planning, planner.
"""
