"""Requests in progress: attempts, streams and their assembly."""
