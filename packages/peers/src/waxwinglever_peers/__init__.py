"""Messages between daemons, their encoding and their transport.

Public modules: codec, links, messages.
"""
