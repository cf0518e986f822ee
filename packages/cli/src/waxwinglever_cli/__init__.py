"""Command-line tool for operators.

Public modules: exits, global_options, main.
"""
