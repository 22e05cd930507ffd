"""Work that one instance does for all, under a lease."""
