"""Customers' quotas and retry budgets, shared by all instances."""
