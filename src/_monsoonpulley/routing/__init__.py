"""Decisions on where a request goes, and whether it may."""
