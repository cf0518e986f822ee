"""Routing, delivery and retries of requests by the entry and owner daemons.

The entry daemon receives a request from its caller and picks a node for it.
The owner daemon is the one on that node; it passes the request to the backend
server.

Public modules: routes, messages, http_client, backend_state, delivery, ingress.
"""
