"""Versions that take over a service's traffic, or are taken back."""
