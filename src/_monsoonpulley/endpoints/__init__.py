"""Interfaces to model engines and plain services, and adapters to them."""
