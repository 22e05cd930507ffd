"""Routing, admission, retries and circuit breakers of requests."""
