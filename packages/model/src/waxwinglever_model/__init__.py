"""Core types, clock, identifiers and the exception tree.

Public modules: cells, clock, exceptions, hashing, identifiers, limits.
"""
