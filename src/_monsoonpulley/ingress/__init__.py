"""The ingress: forwards callers' HTTP requests to endpoints."""
