"""Digests that instances send each other directly."""
