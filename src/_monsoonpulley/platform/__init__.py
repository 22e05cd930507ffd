"""Adapter for the users' platform: names, formats and calls."""
