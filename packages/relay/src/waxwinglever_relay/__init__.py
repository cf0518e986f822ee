"""The way of a request through the first daemon and the owner's daemon.

Public modules: routes, messages, exchanges, backend, delivery, origin.
"""
