"""Tests of the messages and the membership of entry instances."""
