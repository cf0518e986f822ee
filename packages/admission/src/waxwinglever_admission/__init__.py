"""The gate in front of a backend server."""
