"""Interfaces and an HTTP client of the platform's key-value store.

Public modules: client, http, leased.
"""
