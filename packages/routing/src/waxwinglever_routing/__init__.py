"""Choice of the node for a request, retries and hedging.

Public modules: balancer, budgets, hotkeys, maps.
"""
