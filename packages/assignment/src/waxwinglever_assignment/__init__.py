"""Ownership of key ranges, assigned in the store and held under leases.

Public modules: tables, fleet, replicas, sessions, holder, planning, planner.
"""
