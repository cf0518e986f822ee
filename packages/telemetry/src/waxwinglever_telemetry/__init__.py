"""JSON-line logs and metrics.

Public modules: log_writer, logs, metrics, rate_limiter.
"""
