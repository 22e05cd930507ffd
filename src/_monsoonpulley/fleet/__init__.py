"""Configuration and endpoints as this instance knows them."""
