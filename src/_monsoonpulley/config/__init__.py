"""The operators' configuration: document, file format and storage."""
