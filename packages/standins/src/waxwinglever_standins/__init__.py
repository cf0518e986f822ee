"""Stand-ins for the platform's store and for backend servers.

Public modules: backend, backend_http, holds, leased_memory, memory,
ownership_world, serving, store, store_http.
"""
