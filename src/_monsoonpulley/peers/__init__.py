"""Membership of the entry instances and the messages between them."""
