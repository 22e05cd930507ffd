"""Clients and formats of the users' platform."""
