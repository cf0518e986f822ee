"""HTTP servers, request forwarding and control calls between daemons.

Public modules: server, forwarding, control.
"""
