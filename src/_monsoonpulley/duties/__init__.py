"""Duties: control work that one instance does for all, under a lease."""
