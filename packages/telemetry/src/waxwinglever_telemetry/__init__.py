"""JSON-line logs and metrics."""
