"""Stand-ins for the platform's store and for backend servers.

Public modules: backend, backend_http, memory, serving, store, store_http.
"""
