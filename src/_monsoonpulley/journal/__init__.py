"""Durable records of submissions that may run at most once."""
