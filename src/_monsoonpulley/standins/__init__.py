"""Small fakes of the platform and of endpoints."""
