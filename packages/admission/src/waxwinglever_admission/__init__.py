"""Admission control in front of a backend server.

Public modules: gate, outcomes, quarantine, queueing, ramp, tickets.
"""
