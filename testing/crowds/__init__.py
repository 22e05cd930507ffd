"""Crowds of clients that don't behave, before the system's own processes.

The tests start real processes with lowered limits and check what doesn't depend on the
machine's speed. They run one at a time, after all other tests.
"""
