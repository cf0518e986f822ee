"""JSON-line logs and metrics.

Public modules: limiter, logs, metrics, outlet.
"""
