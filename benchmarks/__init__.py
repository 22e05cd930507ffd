"""Benchmarks; run each as ``python -m benchmarks.NAME``."""
