"""Choice of the endpoint for each request."""
