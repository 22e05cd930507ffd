"""Customers' quotas and the retry budget, divided between instances."""
