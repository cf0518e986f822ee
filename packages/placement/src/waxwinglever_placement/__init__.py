"""Planning of moves, splits and merges of slices.

Public modules: plan, splits.
"""
