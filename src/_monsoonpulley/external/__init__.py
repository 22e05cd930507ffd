"""Interfaces of the platform and their adapters."""
