"""Duties held by lease: rollout, capacity, recovery, collection."""
