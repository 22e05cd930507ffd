"""Requests that crash endpoints: evidence, attribution, and what is refused for it."""
