"""The ingress: callers' plain HTTP requests to endpoints and back."""
