"""Assignment of key ranges to nodes, stored as tables and held under leases.

Public modules: tables, commits, fleet_view, loads, promises, replicas, readers,
sessions, grants, planning, planner.
"""
