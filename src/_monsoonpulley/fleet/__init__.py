"""What the instance knows of the configuration and of the endpoints."""
