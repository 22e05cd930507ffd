"""Membership and digests between entry instances."""
