"""Load balancing, retry budgets, hot key tracking and the cell record cache.

Public modules: balancer, budgets, hotkeys, record_cache.
"""
