"""Interfaces of model engines and plain services and their adapters."""
