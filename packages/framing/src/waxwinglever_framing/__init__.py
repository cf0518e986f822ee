"""Decides when an HTTP response is whole and where the next one begins.

All clients of the project read their responses with `client`. Everything that
is not clear about the end of a response is an error with a reason.

Public modules: heads, bodies, client.
"""
