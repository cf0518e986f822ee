"""Stand-ins for the platform's store and for backend servers.

Public modules: backend, backend_http, fleet_simulation, granted_ranges, memory,
memory_leased_store, reader_suite, response_samples, scripted_server, serving,
store, store_http.
"""
