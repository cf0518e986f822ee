"""Messages between daemons and the links that carry them.

Public modules: codec, links, messages.
"""
