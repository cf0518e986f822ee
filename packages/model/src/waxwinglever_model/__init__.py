"""Core data types, clock, limits, identifiers and exceptions.

Public modules: cells, clock, exceptions, hashing, identifiers, limits.
"""
