"""The HTTP interface towards callers and operators."""
