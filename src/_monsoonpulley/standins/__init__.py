"""Stand-ins: test doubles of the platform and of endpoints."""
