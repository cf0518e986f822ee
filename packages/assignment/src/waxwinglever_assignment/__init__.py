"""Assignment of key ranges to nodes, stored as tables and held under leases.

Public modules: tables, commits, fleet, loads, promises, replicas, readers,
sessions, holder, planning, planner.
"""
