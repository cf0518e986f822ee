"""HTTP servers that see their callers leave, and calls between daemons.

Public modules: server, peers.
"""
