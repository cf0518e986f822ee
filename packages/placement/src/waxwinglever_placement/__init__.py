"""Assignment of slices to nodes.

Public modules: plan, splits.
"""
