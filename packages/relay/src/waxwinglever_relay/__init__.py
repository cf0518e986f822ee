"""Routing, delivery and retries of requests by ingress and owner daemons.

The ingress daemon receives a request from its caller and picks a node for it.
The owner daemon runs on that node and passes the request to the backend server.

Public modules: routes, messages, connection_pool, http_client, backend_state,
delivery, ingress.
"""
