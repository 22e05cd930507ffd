"""Tests; ``python -m testing`` runs them all."""
