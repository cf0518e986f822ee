"""Client for the platform's key-value store.

Public modules: calls, http.
"""
