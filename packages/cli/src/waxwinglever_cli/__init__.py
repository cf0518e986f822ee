"""The operators' command-line tool.

Public modules: exits, main, settings.
"""
