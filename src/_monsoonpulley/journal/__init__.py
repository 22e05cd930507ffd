"""The record of submissions that may run at most once."""
