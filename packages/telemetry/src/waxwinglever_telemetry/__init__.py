"""JSON-line logs and metrics.

Public modules: logs, metrics.
"""
