"""Explanations of decisions: log lines by subject, rendered as sentences."""
