"""Command-line tool for operators.

Public modules: exits, main, settings.
"""
