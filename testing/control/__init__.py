"""Tests of control duties."""
