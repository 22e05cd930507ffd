"""Which endpoint takes a request, or why none does."""
