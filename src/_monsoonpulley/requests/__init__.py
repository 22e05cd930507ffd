"""Requests in progress: admission, attempts, and streams that can be continued."""
