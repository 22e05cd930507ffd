"""Tests of the membership of entry instances and the messages between them."""
