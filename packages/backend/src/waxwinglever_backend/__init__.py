"""Client for the backend server beside the daemon.

Public modules: client, http.
"""
